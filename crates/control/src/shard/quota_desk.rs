//! The quota ledger of a shard's leader, and who waits for its answers.

use millford_api::internal::{QuotaReply, QuotaRequest};
use millford_api::state::{StateItem, state_value};
use millford_control_state::quota::{QuotaLeases, QuotaOptions, QuotaOutput};
use millford_core::{MonotonicTime, ResultCode, ShardId};
use millford_replication::QUORUM_TIMEOUT;

use super::core::ShardCore;
use super::input::Ticket;
use super::output::ShardOutput;

/// Prefix of the tenants' keys in the configuration.
const TENANT_PREFIX: &str = "config/tenant/";

/// Ledger and waiting requests.
#[derive(Debug)]
pub struct QuotaService {
    pub(super) ledger: QuotaLeases,
    outputs: Vec<QuotaOutput>,
}

impl QuotaService {
    /// A desk that does not lead yet.
    #[must_use]
    pub fn new(shard: ShardId) -> Self {
        Self {
            ledger: QuotaLeases::new(shard, QuotaOptions::default()),
            outputs: Vec::new(),
        }
    }

    /// Quotas of tenants changed.
    pub fn configuration(&mut self, now: MonotonicTime, items: &[StateItem]) {
        for item in items {
            let Some(tenant) = item.key.strip_prefix(TENANT_PREFIX) else {
                continue;
            };
            let kind = item.value.as_ref().and_then(|value| value.kind.as_ref());
            let quota = match kind {
                Some(state_value::Kind::Tenant(tenant)) => Some(tenant.quota.unwrap_or_default()),
                _ => None,
            };
            let recalls = self.ledger.set_quota(now, tenant, quota);
            self.outputs.extend(recalls);
        }
    }
}

impl ShardCore {
    /// An agent asks for quota.
    pub(super) fn ask_quota(&mut self, now: MonotonicTime, ticket: Ticket, request: &QuotaRequest) {
        if !self.may_lend(now) {
            let reply = QuotaReply {
                shard: request.shard,
                request_id: request.request_id,
                code: ResultCode::NotLeader.number(),
                ..QuotaReply::default()
            };
            self.outputs.push(ShardOutput::Quota { ticket, reply });
            return;
        }
        let outputs = self.quota.ledger.handle(now, request);
        for output in outputs {
            match output {
                QuotaOutput::Reply { reply, .. } => {
                    self.outputs.push(ShardOutput::Quota { ticket, reply });
                }
                recall @ QuotaOutput::Recall { .. } => self.quota.outputs.push(recall),
            }
        }
        self.send_recalls();
    }

    /// A successor may lend a full lease after its election. This leader must have stopped by then,
    /// also when its thread was late, or when it waits patiently for its first answers.
    fn may_lend(&self, now: MonotonicTime) -> bool {
        let heard = self.replica.status().leader_contact;
        heard.is_some_and(|heard| now.since(heard) < QUORUM_TIMEOUT)
    }

    pub(super) fn tick_quota(&mut self, now: MonotonicTime) {
        self.quota.ledger.tick(now);
        self.send_recalls();
    }

    pub(super) fn send_recalls(&mut self) {
        for output in std::mem::take(&mut self.quota.outputs) {
            if let QuotaOutput::Recall { recall, .. } = output {
                self.outputs.push(ShardOutput::Recall(recall));
            }
        }
    }
}
