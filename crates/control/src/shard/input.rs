//! Inputs of a shard's core.

use std::sync::Arc;

use millford_api::internal::{LoadReport, QuotaRequest, ShardRequest, Subscribe};
use millford_api::replication::ReplicationMessage;
use millford_api::state::StateItem;
use millford_core::NodeId;
use millford_registry::RegistryView;

use super::members::MemberView;
use crate::link::LinkId;

/// Number by which the gateway matches a reply with the request that it answers.
pub type CorrelationId = u64;

/// One input of a shard's core.
#[derive(Clone, Debug)]
pub enum ShardInput {
    /// The periodic tick, every [`crate::timing::TICK`].
    Tick,
    /// A message from another replica of the shard.
    Replication(ReplicationMessage),
    /// A request to the shard's leader.
    Request {
        /// Returned with the reply.
        correlation_id: CorrelationId,
        /// The request as received.
        request: ShardRequest,
    },
    /// An agent's quota request.
    Quota {
        /// Returned with the reply.
        correlation_id: CorrelationId,
        /// The request as received.
        request: QuotaRequest,
    },
    /// A member's load report for a service of this shard.
    Load(LoadReport),
    /// An agent's subscription to the shard's feed.
    Subscribe {
        /// The agent's link.
        subscriber: LinkId,
        /// The subscription, with the position up to which the agent has applied the state.
        subscribe: Subscribe,
    },
    /// A link closed; if an agent subscribed on it, its feed ends.
    Unsubscribe {
        /// The closed link.
        subscriber: LinkId,
    },
    /// The leader's reply to [`super::ShardOutput::ConfirmRead`].
    LeaderIndex {
        /// Number of the read in this shard.
        read: u64,
        /// Log index to apply before the read is served; absent if no leader confirmed it.
        index: Option<u64>,
    },
    /// A new view of the service registry.
    Registry(Arc<RegistryView>),
    /// Changed items of the configuration.
    Configuration(Vec<StateItem>),
    /// The control nodes, as seen by this node.
    Members(MemberView),
    /// An operator's order to make this replica the only voter.
    ForceRecovery,
    /// Transfer leadership to a voter.
    TransferLeadership {
        /// The voter to become leader.
        to: NodeId,
    },
    /// The process shuts down: transfer leadership if possible.
    Shutdown,
}
