//! What a control node wants done.

use millford_api::internal::Frame;
use millford_core::{NodeId, ResultCode, ShardId};
use millford_placement::MoveReason;

use crate::link::LinkId;
use crate::operator::OperatorReply;

/// One output of the node's logic.
#[derive(Clone, Debug)]
pub enum NodeOutput {
    /// Send a frame.
    Send {
        /// On this link.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// Open a connection; answered by `LinkOpened` or `LinkClosed`.
    Connect {
        /// Number of the new link.
        link: LinkId,
        /// IP address and port.
        address: String,
    },
    /// Close a link. No `LinkClosed` need follow.
    Close {
        /// The link.
        link: LinkId,
    },
    /// Answer an operator.
    OperatorReply {
        /// Number of the request.
        request: u64,
        /// The answer.
        reply: OperatorReply,
    },
    /// Something worth a line in the log.
    Event(NodeEvent),
    /// The node cannot go on; the process ends.
    Fatal {
        /// Why.
        code: ResultCode,
    },
}

/// An event for the log and the simulator's trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// An identity was minted on an empty disk.
    IdentityMinted(NodeId),
    /// The cluster was formed.
    ClusterFormed(u64),
    /// This node joined a formed cluster without replicas.
    JoinedAsStandby(u64),
    /// The cluster removed this node; it starts over under a new identity.
    StartedOver(NodeId),
    /// A shard has this leader now.
    Leader {
        /// The shard.
        shard: ShardId,
        /// Its leader.
        leader: NodeId,
        /// Its term.
        term: u64,
    },
    /// This replica lost touch with the shard's quorum.
    LostQuorum(ShardId),
    /// A leader changes the voters of its shard.
    VotersChange {
        /// The shard.
        shard: ShardId,
        /// What is changed.
        change: &'static str,
        /// Which node.
        node: NodeId,
    },
    /// A dead node was taken off the list of control nodes.
    MemberRemoved(NodeId),
    /// A configuration was accepted.
    ConfigurationAccepted(u64),
    /// A replica stopped on a storage error.
    ReplicaFailed {
        /// The shard.
        shard: ShardId,
        /// Why.
        code: ResultCode,
    },
    /// The placer moves a replica, or puts a move off.
    Placement {
        /// The pool.
        pool: String,
        /// The replica.
        replica: String,
        /// Why.
        reason: MoveReason,
    },
    /// As [`Self::Placement`], for moves of one plan that are not named.
    MorePlacements {
        /// The pool.
        pool: String,
        /// How many.
        more: usize,
    },
    /// An operator forced recovery: the only voter of the shard is now this node.
    RecoveryForced(ShardId),
}
