//! Tokens and stream slots of one tenant in use.

use std::collections::BTreeSet;

use millford_api::config::Quota;
use millford_api::internal::{QuotaGrant, QuotaRecall, QuotaRequest, TenantQuotaRequest};
use millford_core::{Duration, MonotonicTime, ShardId};

use super::account::{TokenAccount, TokenAnswer, TokenAsk};
use super::bucket::Takeover;
use super::options::QuotaOptions;
use super::output::QuotaOutput;
use super::slots::{Holder, SlotAnswer, SlotAsk, SlotTable};

/// When to ask again for a tenant that this leader has not heard of: its configuration is on its way.
const UNKNOWN_TENANT_WAIT: Duration = Duration::from_millis(50);

/// What an ask is answered with, besides the tenant's own account.
#[derive(Clone, Copy, Debug)]
pub(super) struct AskContext<'ask> {
    pub(super) shard: ShardId,
    pub(super) now: MonotonicTime,
    pub(super) takeover: Takeover,
    pub(super) options: &'ask QuotaOptions,
    pub(super) request: &'ask QuotaRequest,
}

/// One tenant's part of an answer.
#[derive(Debug)]
pub(super) struct Turn {
    pub(super) grant: QuotaGrant,
    pub(super) recalls: Vec<QuotaOutput>,
}

/// Account of a tenant that is or was in use.
#[derive(Clone, Debug)]
pub(super) struct TenantAccount {
    tokens: TokenAccount,
    slots: SlotTable,
}

impl TenantAccount {
    /// The account of a tenant that holds nothing yet.
    pub(super) fn new(quota: &Quota, takeover: Takeover, now: MonotonicTime) -> Self {
        Self {
            tokens: TokenAccount::new(quota, takeover, now),
            slots: SlotTable::default(),
        }
    }

    /// Answers one node's ask.
    pub(super) fn answer(
        &mut self,
        context: AskContext<'_>,
        ask: &TenantQuotaRequest,
        quota: &Quota,
    ) -> Turn {
        let tokens = self.answer_tokens(context, ask);
        let slots = self.answer_slots(context, ask, quota);
        let mut recalls = Vec::new();
        if tokens.recall || slots.recall {
            let asker = &context.request.member;
            recalls = self.recalls(context.shard, context.now, &ask.tenant, context.options);
            recalls.retain(|output| !is_for(output, asker));
        }
        let grant = QuotaGrant {
            tenant: ask.tenant.clone(),
            tokens: narrow(tokens.tokens),
            slots: narrow(slots.slots),
            lease_ms: millis(context.options.lease),
            retry_after_ms: millis(tokens.retry_after.max(slots.retry_after)),
            refused: tokens.refused > 0,
            slots_refused: slots.refused,
            refused_tokens: narrow(tokens.refused),
        };
        Turn { grant, recalls }
    }

    /// Goes over to another quota.
    pub(super) fn change(&mut self, now: MonotonicTime, quota: &Quota, options: &QuotaOptions) {
        self.tokens.change(now, quota, options);
    }

    /// Recalls to every holder of idle tokens or slots, one for each.
    pub(super) fn recalls(
        &mut self,
        shard: ShardId,
        now: MonotonicTime,
        tenant: &str,
        options: &QuotaOptions,
    ) -> Vec<QuotaOutput> {
        let mut holders = self.tokens.recall(now, options.recall_wait);
        holders.extend(self.slots.recall(now, options));
        let mut told = BTreeSet::new();
        holders.retain(|holder| told.insert(holder.member.clone()));
        let to_output = |holder: Holder| QuotaOutput::Recall {
            recall: QuotaRecall {
                shard: shard.0,
                tenant: tenant.to_owned(),
                member: holder.member.clone(),
            },
            member: holder.member,
            epoch: holder.epoch,
        };
        holders.into_iter().map(to_output).collect()
    }

    /// A newer process of the member has shown up.
    pub(super) fn supersede(&mut self, now: MonotonicTime, member: &str, epoch: u64) {
        self.slots.supersede(now, member, epoch);
    }

    /// Whether a fresh account would be the same. The tokens of a removed tenant do not matter.
    pub(super) fn is_idle(
        &mut self,
        now: MonotonicTime,
        removed: bool,
        options: &QuotaOptions,
    ) -> bool {
        self.tokens.advance(now, options);
        self.slots.expire(now, options);
        (removed || self.tokens.is_idle()) && self.slots.is_empty()
    }

    fn answer_tokens(&mut self, context: AskContext<'_>, ask: &TenantQuotaRequest) -> TokenAnswer {
        let token_ask = TokenAsk {
            member: &context.request.member,
            epoch: context.request.epoch,
            wanted: u64::from(ask.tokens),
            waiting: u64::from(ask.waiting),
            returned: u64::from(ask.returned_tokens),
            oldest_wait: Duration::from_millis(u64::from(ask.oldest_wait_ms)),
        };
        self.tokens.ask(context.now, token_ask, context.options)
    }

    fn answer_slots(
        &mut self,
        context: AskContext<'_>,
        ask: &TenantQuotaRequest,
        quota: &Quota,
    ) -> SlotAnswer {
        let slot_ask = SlotAsk {
            member: &context.request.member,
            epoch: context.request.epoch,
            request_id: context.request.request_id,
            wanted: u64::from(ask.slots_requested),
            in_use: u64::from(ask.slots_in_use),
        };
        let limit = u64::from(quota.concurrent_streams);
        let settled_at = context.takeover.full_after;
        self.slots
            .ask(context.now, slot_ask, limit, settled_at, context.options)
    }
}

/// The configuration that names the tenant has not reached this leader; nothing is refused for it.
pub(super) fn unknown_tenant(ask: &TenantQuotaRequest, options: &QuotaOptions) -> Turn {
    let grant = QuotaGrant {
        tenant: ask.tenant.clone(),
        lease_ms: millis(options.lease),
        slots: ask.slots_in_use.min(ask.slots_requested),
        retry_after_ms: millis(UNKNOWN_TENANT_WAIT),
        ..QuotaGrant::default()
    };
    Turn {
        grant,
        recalls: Vec::new(),
    }
}

fn is_for(output: &QuotaOutput, name: &str) -> bool {
    match output {
        QuotaOutput::Recall { member, .. } => member == name,
        QuotaOutput::Reply { .. } => false,
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
