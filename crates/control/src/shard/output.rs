//! What a shard's core wants done.

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
    /// A message to another replica, named in it.
    Replication(ReplicationMessage),
    /// Answer to a request.
    Reply {
        /// Of the request.
        correlation_id: CorrelationId,
        /// The answer.
        reply: ShardReply,
    },
    /// Answer to a quota request.
    Quota {
        /// Of the request.
        correlation_id: CorrelationId,
        /// The answer.
        reply: QuotaReply,
    },
    /// Recall idle quota from nodes.
    Recall(QuotaRecall),
    /// Let the leader confirm a read of this replica.
    ConfirmRead {
        /// Number of the read.
        read: u64,
    },
    /// A feed message for an agent.
    Feed {
        /// The agent's link.
        subscriber: LinkId,
        /// The message.
        message: FeedMessage,
    },
    /// Public items changed in this replica.
    PublicChange(Vec<StateItem>),
    /// The replica's status: it changed, or a report is due.
    ReplicaStatus(ShardReplicaStatus),
    /// Load of all nodes together, for the agents.
    LoadSnapshot(LoadSnapshot),
    /// Something worth a line in the log.
    Event(NodeEvent),
    /// The replica cannot go on.
    Failed(ResultCode),
}
