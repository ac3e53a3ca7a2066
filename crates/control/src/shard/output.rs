//! Outputs of a shard's core.

use millford_api::internal::{FeedMessage, LoadSnapshot, QuotaRecall, QuotaReply, ShardReply};
use millford_api::replication::ReplicationMessage;
use millford_api::state::StateItem;
use millford_core::ResultCode;

use super::input::CorrelationId;
use super::replica_status::ShardReplicaStatus;
use crate::link::LinkId;
use crate::node_event::NodeEvent;

/// One output of a shard's core.
#[derive(Clone, Debug)]
pub enum ShardOutput {
    /// A message to another replica; its `to` field names the node.
    Replication(ReplicationMessage),
    /// The reply to [`super::ShardInput::Request`].
    Reply {
        /// Correlation id of the request.
        correlation_id: CorrelationId,
        /// The reply to be sent.
        reply: ShardReply,
    },
    /// The reply to [`super::ShardInput::Quota`].
    Quota {
        /// Correlation id of the request.
        correlation_id: CorrelationId,
        /// The reply to be sent.
        reply: QuotaReply,
    },
    /// A recall of idle quota from the agents.
    Recall(QuotaRecall),
    /// A read of this replica that its leader is to confirm; answered by
    /// [`super::ShardInput::LeaderIndex`].
    ConfirmRead {
        /// Number of the read in this shard.
        read: u64,
    },
    /// A feed message for an agent.
    Feed {
        /// The agent's link.
        subscriber: LinkId,
        /// The message to be sent.
        message: FeedMessage,
    },
    /// The public items that changed in this replica.
    PublicChange(Vec<StateItem>),
    /// The replica's status, after a change and periodically.
    ReplicaStatus(ShardReplicaStatus),
    /// The load of a service as reported by all nodes, for the agents.
    LoadSnapshot(LoadSnapshot),
    /// An event for the log.
    Event(NodeEvent),
    /// The replica stopped on a storage error.
    Failed(ResultCode),
}
