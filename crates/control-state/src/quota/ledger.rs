//! The ledger of all tenants of one shard, run by the shard's leader only.
//!
//! # Why the quota holds across a change of leader
//! Let S be the time of the election and the bound after which the former leader has certainly
//! stepped down, and G = S and one lease (with its margin). The former leader lends nothing after
//! S. What it lent before S for waiting requests counts before S. Its spare tokens, at most half a
//! burst, may be spent until G. The new leader's buckets are empty at S and hold at most the other
//! half of the burst until G. For a window that begins before S, the former leader's tokens and
//! what the rate gave until S are within the bound of [`super::account`], and the new leader adds
//! only what the rate gave since S. For one that begins between S and G, at most half a burst of
//! spare tokens and half a burst of the new leader's stand at its beginning. From G on only the new
//! leader's tokens are left. So burst + rate * window holds for every window.

use std::collections::BTreeMap;

use millford_api::config::Quota;
use millford_api::internal::{QuotaReply, QuotaRequest, TenantQuotaRequest};
use millford_core::{MonotonicTime, ResultCode, ShardId};

use super::account::LEASE_MARGIN;
use super::bucket::Takeover;
use super::options::QuotaOptions;
use super::output::QuotaOutput;
use super::replies::{EpochStanding, Replies};
use super::tenant_account::{AskContext, TenantAccount, Turn, unknown_tenant};

/// What the leader knows while it leads.
#[derive(Clone, Debug)]
struct Leadership {
    term: u64,
    takeover: Takeover,
    accounts: BTreeMap<String, TenantAccount>,
    replies: Replies,
    swept_at: MonotonicTime,
}

/// Quotas of a shard's tenants. A tenant costs memory beyond its limits only while it is in use.
#[derive(Clone, Debug)]
pub struct QuotaLeases {
    shard: ShardId,
    options: QuotaOptions,
    limits: BTreeMap<String, Quota>,
    leadership: Option<Leadership>,
}

impl QuotaLeases {
    /// A ledger that does not lead yet.
    #[must_use]
    pub fn new(shard: ShardId, options: QuotaOptions) -> Self {
        Self {
            shard,
            options,
            limits: BTreeMap::new(),
            leadership: None,
        }
    }

    /// The replica became the leader of `term`.
    pub fn lead(&mut self, now: MonotonicTime, term: u64) {
        let start = now + self.options.step_down_bound;
        let takeover = Takeover {
            start,
            full_after: start + self.options.lease + LEASE_MARGIN,
            doubt_ends: start + self.options.takeover_doubt,
        };
        self.leadership = Some(Leadership {
            term,
            takeover,
            accounts: BTreeMap::new(),
            replies: Replies::default(),
            swept_at: now,
        });
    }

    /// The replica does not lead any more; it forgets what it lent.
    pub fn resign(&mut self) {
        self.leadership = None;
    }

    /// Whether the ledger answers asks.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.leadership.is_some()
    }

    /// Number of tenants that cost memory beyond their limits now.
    #[must_use]
    pub fn active_tenants(&self) -> usize {
        self.leadership
            .as_ref()
            .map_or(0, |leadership| leadership.accounts.len())
    }

    /// Sets or removes a tenant's quota. A smaller one calls idle slices back.
    pub fn set_quota(
        &mut self,
        now: MonotonicTime,
        tenant: &str,
        quota: Option<Quota>,
    ) -> Vec<QuotaOutput> {
        let before = match quota {
            Some(quota) => self.limits.insert(tenant.to_owned(), quota),
            None => self.limits.remove(tenant),
        };
        if before == quota {
            return Vec::new();
        }
        let Some(leadership) = &mut self.leadership else {
            return Vec::new();
        };
        let Some(account) = leadership.accounts.get_mut(tenant) else {
            return Vec::new();
        };
        // A removed tenant's tokens are worth nothing, and come back as a new tenant's would.
        let now_in_force = quota.unwrap_or_default();
        account.change(now, &now_in_force, &self.options);
        account.recalls(self.shard, now, tenant, &self.options)
    }

    /// Answers a node. Recalls of other nodes' idle slices may go out beside the answer.
    pub fn handle(&mut self, now: MonotonicTime, request: &QuotaRequest) -> Vec<QuotaOutput> {
        let shard = self.shard;
        let Some(leadership) = &mut self.leadership else {
            let reply = empty_reply(request, ResultCode::NotLeader, 0);
            return vec![output(request, reply)];
        };
        match leadership.replies.hear(now, &request.member, request.epoch) {
            EpochStanding::Older => {
                let reply = empty_reply(request, ResultCode::EpochFenced, leadership.term);
                return vec![output(request, reply)];
            }
            EpochStanding::Newer => leadership.supersede(now, &request.member, request.epoch),
            EpochStanding::Present => {}
        }
        if let Some(known) = leadership.replies.find(&request.member, request.request_id) {
            return vec![output(request, known.clone())];
        }
        if leadership
            .replies
            .is_outdated(&request.member, request.request_id)
        {
            let reply = empty_reply(request, ResultCode::ControlTimeout, leadership.term);
            return vec![output(request, reply)];
        }
        let mut reply = empty_reply(request, ResultCode::Ok, leadership.term);
        let mut outputs = Vec::new();
        for ask in &request.tenants {
            let context = AskContext {
                shard,
                now,
                takeover: leadership.takeover,
                options: &self.options,
                request,
            };
            let quota = self.limits.get(&ask.tenant);
            let turn = leadership.ask(context, ask, quota);
            reply.grants.push(turn.grant);
            outputs.extend(turn.recalls);
        }
        leadership.replies.keep(now, &request.member, reply.clone());
        outputs.insert(0, output(request, reply));
        outputs
    }

    /// Lets go of accounts that nobody uses; call it regularly while leading.
    pub fn tick(&mut self, now: MonotonicTime) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if now.since(leadership.swept_at) < self.options.sweep_interval {
            return;
        }
        leadership.swept_at = now;
        leadership.sweep(now, &self.limits, &self.options);
    }
}

impl Leadership {
    fn ask(
        &mut self,
        context: AskContext<'_>,
        ask: &TenantQuotaRequest,
        quota: Option<&Quota>,
    ) -> Turn {
        let Some(quota) = quota else {
            return unknown_tenant(ask, context.options);
        };
        self.accounts
            .entry(ask.tenant.clone())
            .or_insert_with(|| TenantAccount::new(quota, context.takeover, context.now))
            .answer(context, ask, quota)
    }

    fn supersede(&mut self, now: MonotonicTime, member: &str, epoch: u64) {
        for account in self.accounts.values_mut() {
            account.supersede(now, member, epoch);
        }
    }

    fn sweep(
        &mut self,
        now: MonotonicTime,
        limits: &BTreeMap<String, Quota>,
        options: &QuotaOptions,
    ) {
        self.accounts.retain(|tenant, account| {
            let gone = !limits.contains_key(tenant);
            !account.is_idle(now, gone, options)
        });
        let lease = options.lease + LEASE_MARGIN;
        self.replies.sweep(now, lease, options.silent_slot_hold);
    }
}

fn empty_reply(request: &QuotaRequest, code: ResultCode, term: u64) -> QuotaReply {
    QuotaReply {
        shard: request.shard,
        request_id: request.request_id,
        code: code.number(),
        term,
        grants: Vec::new(),
    }
}

fn output(request: &QuotaRequest, reply: QuotaReply) -> QuotaOutput {
    QuotaOutput::Reply {
        member: request.member.clone(),
        reply,
    }
}
