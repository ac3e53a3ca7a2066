//! Answers the proxy's quota requests from the tenants' leases, and requests more quota from the
//! shards' leaders.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::internal::{QuotaRecall, QuotaReply, QuotaRequest};
use millford_api::local::{LocalQuotaRelease, LocalQuotaReply, LocalQuotaRequest};
use millford_core::{Duration, MonotonicTime, ResultCode, ShardId, ShardLayout, tenant_key};

use crate::quota::in_flight_requests::InFlightRequests;
use crate::quota::quota_counts::QuotaCounts;
use crate::quota::quota_decision::QuotaDecision;
use crate::quota::stream_limit::StreamLimit;
use crate::quota::tenant_lease::TenantLease;
use crate::quota::waiter::Waiter;
use crate::timing::{QUOTA_BATCH_INTERVAL, SLOT_RENEWAL_WINDOW};

/// Quota leases of the tenants that are active on this node.
#[derive(Clone, Debug, Default)]
pub struct QuotaClient {
    leases: BTreeMap<String, TenantLease>,
    /// Tenants whose lease has to be checked at each tick.
    active: BTreeSet<String>,
    in_flight: InFlightRequests,
    /// Time at which the last new request was sent to each shard.
    last_sent: BTreeMap<ShardId, MonotonicTime>,
    counts: QuotaCounts,
}

impl QuotaClient {
    /// Returns the numbers of answered requests since the start of the process.
    #[must_use]
    pub fn counts(&self) -> QuotaCounts {
        self.counts
    }

    /// Returns the number of stream slots in use over all tenants.
    #[must_use]
    pub fn slots_in_use(&self) -> u32 {
        self.leases.values().map(TenantLease::slots_in_use).sum()
    }

    /// Returns the number of unspent tokens leased to this node over all tenants.
    #[must_use]
    pub fn available_tokens(&self, now: MonotonicTime) -> u32 {
        self.leases.values().map(|lease| lease.tokens(now)).sum()
    }

    /// Queues a quota request from the proxy, and returns the replies to all of the tenant's
    /// requests that can be granted now.
    pub fn request(
        &mut self,
        now: MonotonicTime,
        request: &LocalQuotaRequest,
        limit: StreamLimit,
    ) -> Vec<LocalQuotaReply> {
        let waiter = Waiter {
            request_id: request.request_id,
            needs_slot: limit.needs_slot(request.stream),
            arrived: now,
            waited_before: Duration::from_millis(u64::from(request.waited_ms)),
            deadline: now + Duration::from_millis(u64::from(request.timeout_ms)),
        };
        let lease = self.lease(now, &request.tenant);
        lease.enqueue(waiter);
        let decisions = lease.grant_waiters(now);
        self.replies(decisions)
    }

    /// Releases the quota of a granted request that has ended or was never sent to a backend, and
    /// returns the replies to requests of the tenant that can be granted now.
    pub fn release(
        &mut self,
        now: MonotonicTime,
        release: &LocalQuotaRelease,
        limit: StreamLimit,
    ) -> Vec<LocalQuotaReply> {
        let lease = self.lease(now, &release.tenant);
        if limit.needs_slot(release.stream) {
            lease.release_slot();
        }
        if release.unused {
            lease.return_token();
        }
        let decisions = lease.grant_waiters(now);
        self.replies(decisions)
    }

    /// Replaces each tenant's number of open streams with the number that the proxy reports on a
    /// new connection; tenants without an entry have none. A restarted proxy has no open streams; a
    /// restarted agent recovers the number of streams that were granted before.
    pub fn reconcile_streams(&mut self, now: MonotonicTime, streams: &BTreeMap<String, u32>) {
        for lease in self.leases.values_mut() {
            lease.reconcile_streams(0);
        }
        for (tenant, count) in streams {
            self.lease(now, tenant).reconcile_streams(*count);
        }
    }

    /// Drops all waiting requests after the proxy has disconnected. Tokens granted for them would
    /// be missing for other requests, and a proxy that reconnects sends its requests again.
    pub fn cancel_waiting(&mut self) {
        self.leases
            .values_mut()
            .for_each(TenantLease::cancel_waiting);
    }

    /// Handles a leader's recall of a tenant's idle tokens. It may arrive at a node that no longer
    /// has a lease of the tenant, for example because it names no agent and was sent to all nodes;
    /// such a node has nothing to return and does not answer.
    pub fn recall(&mut self, recall: &QuotaRecall) {
        if let Some(lease) = self.leases.get_mut(&recall.tenant) {
            lease.recall();
        }
    }

    /// Handles a leader's reply, and returns the replies to the proxy's requests that it decides.
    pub fn reply(&mut self, now: MonotonicTime, reply: &QuotaReply) -> Vec<LocalQuotaReply> {
        if reply.code != ResultCode::Ok.number() {
            self.retry(now, reply.request_id);
            return Vec::new();
        }
        let Some(sent) = self.in_flight.take(reply.request_id) else {
            return Vec::new();
        };
        let mut decisions = Vec::new();
        for request in &sent.request.tenants {
            let mut grants = reply.grants.iter();
            let grant = grants.find(|grant| grant.tenant == request.tenant);
            let lease = self.lease(now, &request.tenant);
            match grant {
                Some(grant) => decisions.extend(lease.apply_grant(now, &sent, request, grant)),
                None => lease.abandon_request(request),
            }
        }
        self.replies(decisions)
    }

    /// Makes all requests in flight due again on a new connection to a control node.
    pub fn link_up(&mut self, now: MonotonicTime) {
        self.in_flight.link_up(now);
    }

    /// Abandons all requests in flight after the session was replaced, because they carry the old
    /// epoch.
    pub fn session_changed(&mut self, now: MonotonicTime) {
        for sent in self.in_flight.take_all() {
            self.abandon(now, &sent.request);
        }
    }

    /// Refuses waiting requests whose deadline has passed, abandons requests to leaders that timed
    /// out, and removes idle leases. Returns the refusals.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<LocalQuotaReply> {
        for sent in self.in_flight.take_timed_out(now) {
            self.abandon(now, &sent.request);
        }
        let mut decisions = Vec::new();
        let mut idle = Vec::new();
        for tenant in &self.active {
            let Some(lease) = self.leases.get_mut(tenant) else {
                idle.push(tenant.clone());
                continue;
            };
            decisions.extend(lease.expire(now));
            lease.return_expiring(now);
            if lease.is_idle(now) {
                idle.push(tenant.clone());
            }
        }
        for tenant in idle {
            self.active.remove(&tenant);
            self.leases.remove(&tenant);
        }
        self.replies(decisions)
    }

    /// Returns the requests to send now: those due to be sent again, and at most one new request
    /// for each shard, for the session of `member` with `epoch`. New requests get the ids after
    /// `last_id`, which is advanced.
    pub fn due_requests(
        &mut self,
        now: MonotonicTime,
        layout: ShardLayout,
        member: &str,
        epoch: u64,
        last_id: &mut u64,
    ) -> Vec<QuotaRequest> {
        let mut requests = self.in_flight.due_requests(now);
        for (shard, tenants) in self.due_tenants(now, layout) {
            *last_id += 1;
            let mut request = QuotaRequest {
                shard: shard.0,
                request_id: *last_id,
                member: member.to_owned(),
                epoch,
                tenants: Vec::with_capacity(tenants.len()),
            };
            for tenant in tenants {
                let lease = self.lease(now, &tenant);
                request
                    .tenants
                    .push(lease.next_request(now, &tenant, *last_id));
            }
            self.last_sent.insert(shard, now);
            self.in_flight.record_sent(now, request.clone());
            requests.push(request);
        }
        requests
    }

    /// Returns the earliest time at which the deadline of a waiting request passes or a new request
    /// to a leader is due; `None` if there is neither. The batch interval counts here from the last
    /// new request to any shard. Resends and timeouts of requests in flight are not included, as
    /// the regular ticks are sufficient for them.
    #[must_use]
    pub fn next_wakeup(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let leases = self.active.iter().filter_map(|name| self.leases.get(name));
        let last_sent = self.last_sent.values().max().copied();
        let batch_end = last_sent.map_or(now, |sent| sent + QUOTA_BATCH_INTERVAL);
        let times = leases.flat_map(|lease| {
            let request_due = lease.next_request_due(now).map(|due| due.max(batch_end));
            [lease.first_deadline(), request_due]
        });
        times.flatten().min()
    }

    /// Returns the tenants for which a request or report is due now, by shard.
    fn due_tenants(
        &self,
        now: MonotonicTime,
        layout: ShardLayout,
    ) -> BTreeMap<ShardId, Vec<String>> {
        let mut due: BTreeMap<ShardId, Vec<String>> = BTreeMap::new();
        for tenant in &self.active {
            let lease = self.leases.get(tenant);
            let due_at = lease.and_then(|lease| lease.next_request_due(now));
            if due_at.is_none_or(|at| at > now) {
                continue;
            }
            let shard = layout.shard_of(&tenant_key(tenant));
            let last = self.last_sent.get(&shard);
            if last.is_none_or(|sent| now.since(*sent) >= QUOTA_BATCH_INTERVAL) {
                due.entry(shard).or_default().push(tenant.clone());
            }
        }
        if !due.is_empty() {
            self.add_renewals(now, layout, &mut due);
        }
        due
    }

    /// Adds slot reports that are due soon to the requests in `due`. Sent separately, these reports
    /// would make up most of the node's frames.
    fn add_renewals(
        &self,
        now: MonotonicTime,
        layout: ShardLayout,
        due: &mut BTreeMap<ShardId, Vec<String>>,
    ) {
        let limit = now + SLOT_RENEWAL_WINDOW;
        for tenant in &self.active {
            let lease = self.leases.get(tenant);
            if !lease.is_some_and(|lease| lease.is_renewal_due_by(limit)) {
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

    /// Handles a reply with an error code. A request that returns no tokens is replaced by a new
    /// one, whose lease starts later. A request that returns tokens is sent again with the same id,
    /// so that the tokens are counted once.
    fn retry(&mut self, now: MonotonicTime, request_id: u64) {
        if self.in_flight.returns_tokens(request_id) {
            self.in_flight.postpone(now, request_id);
            return;
        }
        let Some(sent) = self.in_flight.take(request_id) else {
            return;
        };
        for request in &sent.request.tenants {
            self.lease(now, &request.tenant).retry_request(now, request);
        }
    }

    fn abandon(&mut self, now: MonotonicTime, request: &QuotaRequest) {
        for request in &request.tenants {
            self.lease(now, &request.tenant).abandon_request(request);
        }
    }

    fn lease(&mut self, now: MonotonicTime, tenant: &str) -> &mut TenantLease {
        if !self.active.contains(tenant) {
            self.active.insert(tenant.to_owned());
        }
        let leases = &mut self.leases;
        leases
            .entry(tenant.to_owned())
            .or_insert_with(|| TenantLease::new(now))
    }

    fn replies(&mut self, decisions: Vec<QuotaDecision>) -> Vec<LocalQuotaReply> {
        decisions
            .into_iter()
            .map(|decision| {
                self.count(decision.code);
                LocalQuotaReply {
                    request_id: decision.request_id,
                    granted: decision.code == ResultCode::Ok,
                    code: decision.code.number(),
                    retry_after_ms: decision.retry_after_ms,
                    use_within_ms: decision.use_within_ms,
                }
            })
            .collect()
    }

    fn count(&mut self, code: ResultCode) {
        match code {
            ResultCode::Ok => self.counts.granted += 1,
            ResultCode::QuotaUnavailable => self.counts.unavailable += 1,
            _ => self.counts.refused += 1,
        }
    }
}
