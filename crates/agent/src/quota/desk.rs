//! Answers the proxy's asks from the slices, and asks the shards' leaders for more.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::internal::{QuotaRecall, QuotaReply, QuotaRequest};
use millford_api::local::{LocalQuotaRelease, LocalQuotaReply, LocalQuotaRequest};
use millford_core::{Duration, MonotonicTime, ResultCode, ShardId, ShardLayout, tenant_key};

use crate::quota::ask_sent::AskSent;
use crate::quota::quota_tally::QuotaTally;
use crate::quota::request_book::RequestBook;
use crate::quota::slice_answer::SliceAnswer;
use crate::quota::tenant_slice::TenantSlice;
use crate::quota::waiter::Waiter;
use crate::timing::{QUOTA_BATCH, SLOT_RENEWAL_AHEAD};

/// The slices of every tenant with work on this node.
#[derive(Clone, Debug, Default)]
pub struct QuotaClient {
    slices: BTreeMap<String, TenantSlice>,
    /// Tenants whose slice may have something to do at a tick.
    active: BTreeSet<String>,
    requests: RequestBook,
    last_sent: BTreeMap<ShardId, MonotonicTime>,
    tally: QuotaTally,
}

impl QuotaClient {
    /// How asks were answered so far.
    #[must_use]
    pub fn tally(&self) -> QuotaTally {
        self.tally
    }

    /// Stream slots in use over all tenants.
    #[must_use]
    pub fn slots_in_use(&self) -> u32 {
        self.slices.values().map(TenantSlice::slots_in_use).sum()
    }

    /// Tokens lent to this node and not spent, over all tenants.
    #[must_use]
    pub fn tokens_held(&self, now: MonotonicTime) -> u32 {
        self.slices.values().map(|slice| slice.tokens(now)).sum()
    }

    /// A call wants to be admitted. `limited_streams`: the tenant's streams are limited.
    pub fn ask(
        &mut self,
        now: MonotonicTime,
        ask: &LocalQuotaRequest,
        limited_streams: bool,
    ) -> Vec<LocalQuotaReply> {
        let waiter = Waiter {
            request_id: ask.request_id,
            needs_slot: ask.stream && limited_streams,
            arrived: now,
            waited_before: Duration::from_millis(u64::from(ask.waited_ms)),
            deadline: now + Duration::from_millis(u64::from(ask.timeout_ms)),
        };
        let slice = self.slice(now, &ask.tenant);
        slice.enqueue(waiter);
        let answers = slice.serve(now);
        self.replies(answers)
    }

    /// An admitted call ended.
    pub fn release(
        &mut self,
        now: MonotonicTime,
        release: &LocalQuotaRelease,
        limited_streams: bool,
    ) -> Vec<LocalQuotaReply> {
        let holds_slot = release.stream && limited_streams;
        let slice = self.slice(now, &release.tenant);
        slice.release(holds_slot, release.unused);
        let answers = slice.serve(now);
        self.replies(answers)
    }

    /// A new connection of the proxy. It names every stream slot that it holds: a proxy that started
    /// afresh holds none, and a restarted agent learns those that were granted before.
    pub fn take_over(&mut self, now: MonotonicTime, streams: &BTreeMap<String, u32>) {
        for slice in self.slices.values_mut() {
            slice.take_over(0);
        }
        for (tenant, count) in streams {
            self.slice(now, tenant).take_over(*count);
        }
    }

    /// The proxy that asked is gone: nobody waits for the answers, and tokens that are lent for them would be
    /// missed by others. A proxy that comes back asks again.
    pub fn drop_waiting(&mut self) {
        self.slices.values_mut().for_each(TenantSlice::drop_waiting);
    }

    /// A leader wants a tenant's idle slice back. A node that has not asked for the tenant within
    /// the last lease holds nothing and says nothing: recalls go to every node.
    pub fn recall(&mut self, recall: &QuotaRecall) {
        if let Some(slice) = self.slices.get_mut(&recall.tenant) {
            slice.recall();
        }
    }

    /// Takes a leader's answer.
    pub fn reply(&mut self, now: MonotonicTime, reply: &QuotaReply) -> Vec<LocalQuotaReply> {
        if reply.code != ResultCode::Ok.number() {
            self.unanswered(now, reply.request_id);
            return Vec::new();
        }
        let Some(sent) = self.requests.take(reply.request_id) else {
            return Vec::new();
        };
        let ask_sent = AskSent {
            at: sent.sent_at,
            request_id: reply.request_id,
        };
        let mut answers = Vec::new();
        for ask in &sent.request.tenants {
            let grant = reply.grants.iter().find(|grant| grant.tenant == ask.tenant);
            let slice = self.slice(now, &ask.tenant);
            match grant {
                Some(grant) => answers.extend(slice.granted(now, ask_sent, ask, grant)),
                None => slice.lost(ask),
            }
        }
        self.replies(answers)
    }

    /// A new connection to a control node.
    pub fn link_up(&mut self, now: MonotonicTime) {
        self.requests.link_up(now);
    }

    /// The session was replaced: requests under its epoch are void.
    pub fn session_changed(&mut self, now: MonotonicTime) {
        let void = self.requests.take_all();
        for sent in void {
            self.forget(now, &sent.request);
        }
    }

    /// Answers the calls whose time is over, and gives up requests that are too old.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<LocalQuotaReply> {
        for sent in self.requests.given_up(now) {
            self.forget(now, &sent.request);
        }
        let mut answers = Vec::new();
        let mut idle = Vec::new();
        for tenant in &self.active {
            let Some(slice) = self.slices.get_mut(tenant) else {
                idle.push(tenant.clone());
                continue;
            };
            answers.extend(slice.expire(now));
            slice.return_old(now);
            if slice.is_idle(now) {
                idle.push(tenant.clone());
            }
        }
        for tenant in idle {
            self.active.remove(&tenant);
            self.slices.remove(&tenant);
        }
        self.replies(answers)
    }

    /// Requests to send now for the session `member` with `epoch`, one at most for a shard.
    pub fn requests(
        &mut self,
        now: MonotonicTime,
        layout: ShardLayout,
        member: &str,
        epoch: u64,
        next_id: &mut u64,
    ) -> Vec<QuotaRequest> {
        let mut requests = self.requests.due(now);
        for (shard, tenants) in self.due_tenants(now, layout) {
            *next_id += 1;
            let mut request = QuotaRequest {
                shard: shard.0,
                request_id: *next_id,
                member: member.to_owned(),
                epoch,
                tenants: Vec::with_capacity(tenants.len()),
            };
            for tenant in tenants {
                let ask = self.slice(now, &tenant).ask(now, &tenant, *next_id);
                request.tenants.push(ask);
            }
            self.last_sent.insert(shard, now);
            self.requests.sent(now, request.clone());
            requests.push(request);
        }
        requests
    }

    /// When [`Self::tick`] and [`Self::requests`] next have something to do.
    #[must_use]
    pub fn next_wakeup(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let slices = self.active.iter().filter_map(|name| self.slices.get(name));
        let last_sent = self.last_sent.values().max().copied();
        let batch_end = last_sent.map_or(now, |sent| sent + QUOTA_BATCH);
        let times = slices.flat_map(|slice| {
            let ask = slice.due(now).map(|due| due.max(batch_end));
            [slice.first_deadline(), ask]
        });
        times.flatten().min()
    }

    fn due_tenants(
        &self,
        now: MonotonicTime,
        layout: ShardLayout,
    ) -> BTreeMap<ShardId, Vec<String>> {
        let mut due: BTreeMap<ShardId, Vec<String>> = BTreeMap::new();
        for tenant in &self.active {
            let slice = self.slices.get(tenant);
            let due_at = slice.and_then(|slice| slice.due(now));
            if due_at.is_none_or(|at| at > now) {
                continue;
            }
            let shard = layout.shard_of(&tenant_key(tenant));
            let last = self.last_sent.get(&shard);
            if last.is_none_or(|sent| now.since(*sent) >= QUOTA_BATCH) {
                due.entry(shard).or_default().push(tenant.clone());
            }
        }
        if !due.is_empty() {
            self.add_renewals(now, layout, &mut due);
        }
        due
    }

    /// Reports of slots that are due soon go along: one by one they would make most of the node's
    /// frames.
    fn add_renewals(
        &self,
        now: MonotonicTime,
        layout: ShardLayout,
        due: &mut BTreeMap<ShardId, Vec<String>>,
    ) {
        let limit = now + SLOT_RENEWAL_AHEAD;
        for tenant in &self.active {
            let slice = self.slices.get(tenant);
            if !slice.is_some_and(|slice| slice.renews_by(limit)) {
                continue;
            }
            let shard = layout.shard_of(&tenant_key(tenant));
            if let Some(tenants) = due.get_mut(&shard)
                && !tenants.contains(tenant)
            {
                tenants.push(tenant.clone());
            }
        }
    }

    /// The leader could not answer. A request that returns nothing is given up for a new one, whose
    /// lease counts from later; one that returns tokens keeps its id, so that they count once.
    fn unanswered(&mut self, now: MonotonicTime, request_id: u64) {
        if self.requests.returns_tokens(request_id) {
            self.requests.postpone(now, request_id);
            return;
        }
        let Some(sent) = self.requests.take(request_id) else {
            return;
        };
        for ask in &sent.request.tenants {
            self.slice(now, &ask.tenant).unanswered(now, ask);
        }
    }

    fn forget(&mut self, now: MonotonicTime, request: &QuotaRequest) {
        for ask in &request.tenants {
            self.slice(now, &ask.tenant).lost(ask);
        }
    }

    fn slice(&mut self, now: MonotonicTime, tenant: &str) -> &mut TenantSlice {
        if !self.active.contains(tenant) {
            self.active.insert(tenant.to_owned());
        }
        let slices = &mut self.slices;
        slices
            .entry(tenant.to_owned())
            .or_insert_with(|| TenantSlice::new(now))
    }

    fn replies(&mut self, answers: Vec<SliceAnswer>) -> Vec<LocalQuotaReply> {
        answers
            .into_iter()
            .map(|answer| {
                self.count(answer.code);
                LocalQuotaReply {
                    request_id: answer.request_id,
                    granted: answer.code == ResultCode::Ok,
                    code: answer.code.number(),
                    retry_after_ms: answer.retry_after_ms,
                    use_within_ms: answer.use_within_ms,
                }
            })
            .collect()
    }

    fn count(&mut self, code: ResultCode) {
        match code {
            ResultCode::Ok => self.tally.granted += 1,
            ResultCode::QuotaUnavailable => self.tally.unavailable += 1,
            _ => self.tally.refused += 1,
        }
    }
}
