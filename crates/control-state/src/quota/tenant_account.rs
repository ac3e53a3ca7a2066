//! Account of the tokens and stream slots of one active tenant.

use std::collections::BTreeSet;

use millford_api::config::Quota;
use millford_api::internal::{QuotaGrant, QuotaRecall, QuotaRequest, TenantQuotaRequest};
use millford_core::{Duration, MonotonicTime, ShardId};

use super::options::QuotaOptions;
use super::output::QuotaOutput;
use super::recall::RecallTarget;
use super::slot_leases::{SlotGrant, SlotLeases, SlotLimit, SlotRequest};
use super::takeover::Takeover;
use super::token_account::{TokenAccount, TokenGrant, TokenRequest};

/// Retry delay for a tenant whose configuration has not reached this leader yet.
const UNKNOWN_TENANT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Parameters for the handling of a request that are the same for all its tenants.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestContext<'request> {
    pub(super) shard: ShardId,
    pub(super) now: MonotonicTime,
    pub(super) takeover: Takeover,
    pub(super) options: &'request QuotaOptions,
    /// The whole request; each tenant's part is handled separately.
    pub(super) request: &'request QuotaRequest,
}

/// One tenant's part of a reply, and the recalls to send with it.
#[derive(Debug)]
pub(super) struct TenantReply {
    pub(super) grant: QuotaGrant,
    pub(super) recalls: Vec<QuotaOutput>,
}

/// Account of a tenant that has made requests under this leader.
#[derive(Clone, Debug)]
pub(super) struct TenantAccount {
    tokens: TokenAccount,
    slots: SlotLeases,
}

impl TenantAccount {
    /// Creates the account of a tenant without grants.
    pub(super) fn new(quota: &Quota, takeover: Takeover, now: MonotonicTime) -> Self {
        Self {
            tokens: TokenAccount::new(quota, takeover, now),
            slots: SlotLeases::default(),
        }
    }

    /// Handles one node's request for the tenant.
    pub(super) fn handle(
        &mut self,
        context: RequestContext<'_>,
        request: &TenantQuotaRequest,
        quota: &Quota,
    ) -> TenantReply {
        let tokens = self.handle_tokens(context, request);
        let slots = self.handle_slots(context, request, quota);
        let mut recalls = Vec::new();
        if tokens.recall || slots.recall {
            let requester = &context.request.member;
            recalls =
                self.start_recalls(context.shard, context.now, &request.tenant, context.options);
            recalls.retain(|recall| recall.member() != requester);
        }
        let grant = QuotaGrant {
            tenant: request.tenant.clone(),
            tokens: saturate_to_u32(tokens.tokens),
            slots: saturate_to_u32(slots.slots),
            lease_ms: millis_rounded_up(context.options.lease),
            retry_after_ms: millis_rounded_up(tokens.retry_after.max(slots.retry_after)),
            refused: tokens.refused > 0,
            slots_refused: slots.refused,
            refused_tokens: saturate_to_u32(tokens.refused),
        };
        TenantReply { grant, recalls }
    }

    /// Switches the token bucket to another quota.
    pub(super) fn set_quota(&mut self, now: MonotonicTime, quota: &Quota, options: &QuotaOptions) {
        self.tokens.set_quota(now, quota, options);
    }

    /// Returns one recall to each node that has idle tokens or slots of the tenant and is due for
    /// one.
    pub(super) fn start_recalls(
        &mut self,
        shard: ShardId,
        now: MonotonicTime,
        tenant: &str,
        options: &QuotaOptions,
    ) -> Vec<QuotaOutput> {
        let mut targets = self.tokens.start_recalls(now, options);
        targets.extend(self.slots.start_recalls(now, options));
        let mut notified = BTreeSet::new();
        targets.retain(|target| notified.insert(target.member.clone()));
        let to_output = |target: RecallTarget| QuotaOutput::Recall {
            recall: QuotaRecall {
                shard: shard.0,
                tenant: tenant.to_owned(),
                member: target.member.clone(),
            },
            member: target.member,
            epoch: target.epoch,
        };
        targets.into_iter().map(to_output).collect()
    }

    /// Marks slots that were leased to an older session of the member as superseded.
    pub(super) fn supersede(&mut self, now: MonotonicTime, member: &str, epoch: u64) {
        self.slots.supersede(now, member, epoch);
    }

    /// Refills the bucket and expires leases up to `now`.
    pub(super) fn advance(&mut self, now: MonotonicTime, options: &QuotaOptions) {
        self.tokens.advance(now, options);
        self.slots.expire(now, options);
    }

    /// Whether the account can be dropped, because a new one would be in the same state. The tokens
    /// of a removed tenant are not considered.
    pub(super) fn is_idle(&self, tenant: TenantPresence) -> bool {
        let tokens_idle = tenant == TenantPresence::Removed || self.tokens.is_idle();
        tokens_idle && self.slots.is_empty()
    }

    fn handle_tokens(
        &mut self,
        context: RequestContext<'_>,
        request: &TenantQuotaRequest,
    ) -> TokenGrant {
        let token_request = TokenRequest {
            member: &context.request.member,
            epoch: context.request.epoch,
            requested: u64::from(request.tokens),
            waiting: u64::from(request.waiting),
            returned: u64::from(request.returned_tokens),
            oldest_wait: Duration::from_millis(u64::from(request.oldest_wait_ms)),
        };
        self.tokens
            .handle(context.now, token_request, context.options)
    }

    fn handle_slots(
        &mut self,
        context: RequestContext<'_>,
        request: &TenantQuotaRequest,
        quota: &Quota,
    ) -> SlotGrant {
        let slot_request = SlotRequest {
            member: &context.request.member,
            epoch: context.request.epoch,
            request_id: context.request.request_id,
            requested: u64::from(request.slots_requested),
            in_use: u64::from(request.slots_in_use),
        };
        let limit = SlotLimit {
            slots: (quota.concurrent_streams > 0).then_some(u64::from(quota.concurrent_streams)),
            predecessor_leases_end: context.takeover.predecessor_leases_end,
        };
        self.slots
            .handle(context.now, slot_request, limit, context.options)
    }
}

/// Whether the current configuration contains a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TenantPresence {
    Configured,
    Removed,
}

/// Returns the reply for a tenant whose configuration has not reached this leader. Nothing is
/// refused, and slots in use are kept.
pub(super) fn unknown_tenant_reply(
    request: &TenantQuotaRequest,
    options: &QuotaOptions,
) -> TenantReply {
    let grant = QuotaGrant {
        tenant: request.tenant.clone(),
        lease_ms: millis_rounded_up(options.lease),
        slots: request.slots_in_use.min(request.slots_requested),
        retry_after_ms: millis_rounded_up(UNKNOWN_TENANT_RETRY_DELAY),
        ..QuotaGrant::default()
    };
    TenantReply {
        grant,
        recalls: Vec::new(),
    }
}

fn saturate_to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Converts to whole milliseconds, rounded up, because a retry before the token is available would
/// fail.
fn millis_rounded_up(duration: Duration) -> u32 {
    let rounded = duration.as_micros().div_ceil(1000);
    u32::try_from(rounded).unwrap_or(u32::MAX)
}
