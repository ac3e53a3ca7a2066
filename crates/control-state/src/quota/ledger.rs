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

use std::collections::{BTreeMap, BTreeSet};

use millford_api::config::Quota;
use millford_api::internal::{QuotaAsk, QuotaGrant, QuotaRecall, QuotaReply, QuotaRequest};
use millford_core::{Duration, MonotonicTime, ResultCode, ShardId};

use super::account::{LEASE_MARGIN, TokenAccount, TokenAsk};
use super::bucket::Takeover;
use super::options::QuotaOptions;
use super::output::QuotaOutput;
use super::replies::{EpochStanding, Replies};
use super::slots::{Holder, SlotAsk, SlotTable};

/// When to ask again for a tenant that this leader has not heard of: its configuration is on its way.
const UNKNOWN_TENANT_WAIT: Duration = Duration::from_millis(50);

/// Tokens and slots of one tenant in use.
#[derive(Clone, Debug)]
struct Account {
    tokens: TokenAccount,
    slots: SlotTable,
}

/// What the leader knows while it leads.
#[derive(Clone, Debug)]
struct Leadership {
    term: u64,
    takeover: Takeover,
    accounts: BTreeMap<String, Account>,
    replies: Replies,
    swept_at: MonotonicTime,
}

/// Quotas of a shard's tenants. A tenant costs memory beyond its limits only while it is in use.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    shard: ShardId,
    options: QuotaOptions,
    limits: BTreeMap<String, Quota>,
    leadership: Option<Leadership>,
}

impl QuotaLedger {
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
        account.tokens.change(now, &now_in_force, &self.options);
        recalls(self.shard, now, tenant, account, &self.options)
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
        let mut reply = empty_reply(request, ResultCode::Ok, leadership.term);
        let mut outputs = Vec::new();
        for ask in &request.asks {
            let quota = self.limits.get(&ask.tenant);
            let turn = leadership.ask(shard, now, request, ask, quota, &self.options);
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

/// One tenant's part of an answer.
struct Turn {
    grant: QuotaGrant,
    recalls: Vec<QuotaOutput>,
}

impl Leadership {
    fn ask(
        &mut self,
        shard: ShardId,
        now: MonotonicTime,
        request: &QuotaRequest,
        ask: &QuotaAsk,
        quota: Option<&Quota>,
        options: &QuotaOptions,
    ) -> Turn {
        let Some(quota) = quota else {
            return unknown_tenant(ask, options);
        };
        let takeover = self.takeover;
        let account = self
            .accounts
            .entry(ask.tenant.clone())
            .or_insert_with(|| Account {
                tokens: TokenAccount::new(quota, takeover, now),
                slots: SlotTable::default(),
            });
        account.answer(shard, now, request, ask, quota, takeover, options)
    }

    fn supersede(&mut self, now: MonotonicTime, member: &str, epoch: u64) {
        for account in self.accounts.values_mut() {
            account.slots.supersede(now, member, epoch);
        }
    }

    fn sweep(
        &mut self,
        now: MonotonicTime,
        limits: &BTreeMap<String, Quota>,
        options: &QuotaOptions,
    ) {
        self.accounts.retain(|tenant, account| {
            account.tokens.advance(now, options);
            account.slots.expire(now, options);
            let gone = !limits.contains_key(tenant);
            let idle = account.tokens.is_idle() || gone;
            !(idle && account.slots.is_empty())
        });
        let lease = options.lease + LEASE_MARGIN;
        self.replies.sweep(now, lease, options.silent_slot_hold);
    }
}

impl Account {
    #[allow(clippy::too_many_arguments)]
    fn answer(
        &mut self,
        shard: ShardId,
        now: MonotonicTime,
        request: &QuotaRequest,
        ask: &QuotaAsk,
        quota: &Quota,
        takeover: Takeover,
        options: &QuotaOptions,
    ) -> Turn {
        let token_ask = TokenAsk {
            member: &request.member,
            epoch: request.epoch,
            wanted: u64::from(ask.tokens),
            returned: u64::from(ask.returned_tokens),
        };
        let tokens = self.tokens.ask(now, token_ask, options);
        let slot_ask = SlotAsk {
            member: &request.member,
            epoch: request.epoch,
            request_id: request.request_id,
            wanted: u64::from(ask.slots_wanted),
            in_use: u64::from(ask.slots_in_use),
        };
        let limit = u64::from(quota.concurrent_streams);
        let slots = self
            .slots
            .ask(now, slot_ask, limit, takeover.full_after, options);
        let recalls = if tokens.recall || slots.recall {
            recalls_but(shard, now, ask, self, options, &request.member)
        } else {
            Vec::new()
        };
        let grant = QuotaGrant {
            tenant: ask.tenant.clone(),
            tokens: narrow(tokens.tokens),
            slots: narrow(slots.slots),
            lease_ms: millis(options.lease),
            retry_after_ms: millis(tokens.retry_after.max(slots.retry_after)),
            refused: tokens.refused,
            slots_refused: slots.refused,
        };
        Turn { grant, recalls }
    }
}

fn recalls_but(
    shard: ShardId,
    now: MonotonicTime,
    ask: &QuotaAsk,
    account: &mut Account,
    options: &QuotaOptions,
    asker: &str,
) -> Vec<QuotaOutput> {
    let mut outputs = recalls(shard, now, &ask.tenant, account, options);
    outputs.retain(|output| match output {
        QuotaOutput::Recall { member, .. } => member != asker,
        QuotaOutput::Reply { .. } => true,
    });
    outputs
}

/// Recalls to every holder of idle tokens or slots, one for each.
fn recalls(
    shard: ShardId,
    now: MonotonicTime,
    tenant: &str,
    account: &mut Account,
    options: &QuotaOptions,
) -> Vec<QuotaOutput> {
    let mut holders = account.tokens.recall(now, options.recall_wait);
    holders.extend(account.slots.recall(now, options));
    let mut told = BTreeSet::new();
    holders.retain(|holder| told.insert(holder.member.clone()));
    let recall = QuotaRecall {
        shard: shard.0,
        tenant: tenant.to_owned(),
    };
    let to_output = |holder: Holder| QuotaOutput::Recall {
        member: holder.member,
        epoch: holder.epoch,
        recall: recall.clone(),
    };
    holders.into_iter().map(to_output).collect()
}

/// The configuration that names the tenant has not reached this leader; nothing is refused for it.
fn unknown_tenant(ask: &QuotaAsk, options: &QuotaOptions) -> Turn {
    let grant = QuotaGrant {
        tenant: ask.tenant.clone(),
        lease_ms: millis(options.lease),
        slots: ask.slots_in_use.min(ask.slots_wanted),
        retry_after_ms: millis(UNKNOWN_TENANT_WAIT),
        ..QuotaGrant::default()
    };
    Turn {
        grant,
        recalls: Vec::new(),
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

fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Whole milliseconds, rounded up: asking again earlier would be in vain.
fn millis(duration: Duration) -> u32 {
    let rounded = duration.as_micros().div_ceil(1000);
    u32::try_from(rounded).unwrap_or(u32::MAX)
}
