//! What happens to a shard's core.

use std::sync::Arc;

use millford_api::internal::{LoadReport, QuotaRequest, ShardRequest, Subscribe};
use millford_api::replication::ReplicationMessage;
use millford_api::state::StateItem;
use millford_core::NodeId;
use millford_registry::RegistryView;

use super::members::MemberView;
use crate::link::LinkId;

/// Number under which the gateway remembers who is to be answered.
pub type CorrelationId = u64;

/// One input of a shard's core.
#[derive(Clone, Debug)]
pub enum ShardInput {
    /// Time passed.
    Tick,
    /// A message of another replica.
    Replication(ReplicationMessage),
    /// A request to the shard's leader.
    Request {
        /// For the answer.
        correlation_id: CorrelationId,
        /// The request.
        request: ShardRequest,
    },
    /// An agent requests quota.
    Quota {
        /// For the answer.
        correlation_id: CorrelationId,
        /// The request.
        request: QuotaRequest,
    },
    /// A node's load report on a service of this shard.
    Load(LoadReport),
    /// An agent wants the feed.
    Subscribe {
        /// Its link.
        subscriber: LinkId,
        /// From where.
        subscribe: Subscribe,
    },
    /// An agent is disconnected.
    Unsubscribe {
        /// Its link.
        subscriber: LinkId,
    },
    /// The leader's answer to a read that this replica wanted confirmed.
    LeaderIndex {
        /// Number of the read.
        read: u64,
        /// Index to wait for; absent: no leader confirmed it.
        index: Option<u64>,
    },
    /// The service registry was read.
    Registry(Arc<RegistryView>),
    /// Items of the configuration shard changed.
    Configuration(Vec<StateItem>),
    /// The control nodes, as this node sees them.
    Members(MemberView),
    /// An operator forces recovery: this replica becomes the only voter.
    ForceRecovery,
    /// Hand leadership to this voter.
    TransferLeadership {
        /// The voter.
        to: NodeId,
    },
    /// The process shuts down: transfer leadership if possible.
    Shutdown,
}
