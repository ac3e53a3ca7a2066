//! Grants quota leases to nodes. Only the leader of the tenant's shard does so.

use millford_api::internal::{QuotaReply, QuotaRequest};
use millford_api::state::{StateItem, state_value};
use millford_control_state::quota::{QuotaLeases, QuotaOptions, QuotaOutput};
use millford_core::{MonotonicTime, ResultCode, ShardId};

use super::input::CorrelationId;
use super::output::ShardOutput;

/// Prefix of the keys of tenants in the configuration.
const TENANT_PREFIX: &str = "config/tenant/";

/// Owns the quota leases of this shard's tenants, and the recalls that are not sent yet.
pub(super) struct QuotaService {
    leases: QuotaLeases,
    recalls: Vec<QuotaOutput>,
}

impl QuotaService {
    /// Creates the service for a replica that does not lead.
    pub(super) fn new(shard: ShardId) -> Self {
        Self {
            leases: QuotaLeases::new(shard, QuotaOptions::default()),
            recalls: Vec::new(),
        }
    }

    /// Starts granting in this term, when this replica becomes the leader.
    pub(super) fn lead(&mut self, now: MonotonicTime, term: u64) {
        self.leases.lead(now, term);
    }

    /// Stops granting when this replica stops leading.
    pub(super) fn resign(&mut self) {
        self.leases.resign();
    }

    /// Applies changes of the tenants' quotas. The resulting recalls are sent with the next request
    /// or tick.
    pub(super) fn apply_configuration(&mut self, now: MonotonicTime, items: &[StateItem]) {
        for item in items {
            let Some(tenant) = item.key.strip_prefix(TENANT_PREFIX) else {
                continue;
            };
            let kind = item.value.as_ref().and_then(|value| value.kind.as_ref());
            let quota = match kind {
                Some(state_value::Kind::Tenant(tenant)) => Some(tenant.quota.unwrap_or_default()),
                _ => None,
            };
            let recalls = self.leases.set_quota(now, tenant, quota);
            self.recalls.extend(recalls);
        }
    }

    /// Answers an agent's quota request on the leader.
    pub(super) fn grant(
        &mut self,
        now: MonotonicTime,
        correlation_id: CorrelationId,
        request: &QuotaRequest,
    ) -> Vec<ShardOutput> {
        let mut outputs = Vec::new();
        for output in self.leases.handle(now, request) {
            match output {
                QuotaOutput::Reply { reply, .. } => outputs.push(ShardOutput::Quota {
                    correlation_id,
                    reply,
                }),
                recall @ QuotaOutput::Recall { .. } => self.recalls.push(recall),
            }
        }
        outputs.extend(self.take_recalls());
        outputs
    }

    /// Expires leases. Returns the recalls to send.
    pub(super) fn tick(&mut self, now: MonotonicTime) -> Vec<ShardOutput> {
        self.leases.tick(now);
        self.take_recalls()
    }

    fn take_recalls(&mut self) -> Vec<ShardOutput> {
        let recalls = std::mem::take(&mut self.recalls).into_iter();
        recalls
            .filter_map(|output| match output {
                QuotaOutput::Recall { recall, .. } => Some(ShardOutput::Recall(recall)),
                QuotaOutput::Reply { .. } => None,
            })
            .collect()
    }
}

/// The reply of a replica that must not grant quota.
pub(super) fn refusal(correlation_id: CorrelationId, request: &QuotaRequest) -> ShardOutput {
    ShardOutput::Quota {
        correlation_id,
        reply: QuotaReply {
            shard: request.shard,
            request_id: request.request_id,
            code: ResultCode::NotLeader.number(),
            ..QuotaReply::default()
        },
    }
}
