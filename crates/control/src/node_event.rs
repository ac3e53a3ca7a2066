//! Events of a control node, for the log.

use std::fmt;

use millford_core::{NodeId, ResultCode, ShardId};
use millford_placement::MoveReason;

/// An event for the daemon's log and for verbose runs of the simulator. Its `Display` form is the
/// log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// A new identity was created because the disk held no valid one.
    IdentityCreated(NodeId),
    /// This node formed the cluster with this identity.
    ClusterFormed(u64),
    /// This node joined the formed cluster with this identity, without replicas.
    JoinedAsStandby(u64),
    /// This node erased its shards and continues under this new identity, because the cluster
    /// removed the old one or a shard's storage is corrupt.
    StartedOver(NodeId),
    /// This node's replica became the leader of a shard.
    Leader {
        /// The shard that it leads.
        shard: ShardId,
        /// Identity of this node.
        leader: NodeId,
        /// The leader's term.
        term: u64,
    },
    /// This node's replica of the shard lost contact with the quorum.
    LostQuorum(ShardId),
    /// This node, as the leader of a shard, starts a membership change of its group.
    VotersChange {
        /// The shard whose group changes.
        shard: ShardId,
        /// The change: `add learner`, `remove` or `promote`.
        change: &'static str,
        /// The node to be added, removed or promoted.
        node: NodeId,
    },
    /// This node, as the leader, removes an unresponsive control node from the membership.
    MemberRemoved(NodeId),
    /// The configuration with this revision was accepted.
    ConfigurationAccepted(u64),
    /// A replica stopped on a storage error.
    ReplicaFailed {
        /// The shard of the replica.
        shard: ShardId,
        /// Result code of the storage error.
        code: ResultCode,
    },
    /// The placer changes a replica, or defers a change.
    Placement {
        /// Name of the pool.
        pool: String,
        /// Backend, model and version of the replica.
        replica: String,
        /// The change with its reason.
        reason: MoveReason,
    },
    /// The number of moves of one plan that got no [`Self::Placement`] event of their own.
    MorePlacements {
        /// Name of the pool.
        pool: String,
        /// Number of the remaining moves.
        more: usize,
    },
    /// An operator forced recovery: this node is now the only voter of the shard.
    RecoveryForced(ShardId),
}

impl fmt::Display for NodeEvent {
    /// Formats the event as a log line.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::IdentityCreated(node) => {
                write!(
                    formatter,
                    "Created node identity {node}: the disk holds no valid one."
                )
            }
            Self::ClusterFormed(cluster) => write!(formatter, "Formed cluster {cluster:016x}."),
            Self::JoinedAsStandby(cluster) => {
                write!(formatter, "Joined cluster {cluster:016x} as a standby.")
            }
            Self::StartedOver(node) => {
                write!(
                    formatter,
                    "Erased all shards; this node continues as {node}."
                )
            }
            Self::Leader {
                shard,
                leader,
                term,
            } => write!(
                formatter,
                "Node {leader} leads shard {shard} in term {term}."
            ),
            Self::LostQuorum(shard) => {
                write!(formatter, "Lost contact with the quorum of shard {shard}.")
            }
            Self::VotersChange {
                shard,
                change,
                node,
            } => write!(formatter, "Shard {shard}: {change} {node}."),
            Self::MemberRemoved(node) => write!(
                formatter,
                "Removing unresponsive control node {node} from the membership."
            ),
            Self::ConfigurationAccepted(revision) => {
                write!(formatter, "Accepted configuration revision {revision}.")
            }
            Self::ReplicaFailed { shard, code } => {
                write!(formatter, "The replica of shard {shard} stopped: {code}")
            }
            Self::Placement {
                pool,
                replica,
                reason,
            } => write!(
                formatter,
                "Pool {pool}: replica {replica} {}.",
                reason_text(*reason)
            ),
            Self::MorePlacements { pool, more } => {
                write!(formatter, "Pool {pool}: {more} more replica changes.")
            }
            Self::RecoveryForced(shard) => write!(
                formatter,
                "FORCED RECOVERY: this node is the only voter of shard {shard}; accepted orders may be lost."
            ),
        }
    }
}

/// Describes the change and its reason, as the end of a log line about a replica.
fn reason_text(reason: MoveReason) -> &'static str {
    match reason {
        MoveReason::Fenced => "is unchanged, because a later leader has placed it",
        MoveReason::Placed => "accepts new work",
        MoveReason::Retired => {
            "accepts no new work, because its backend is retired or withdrew the declaration"
        }
        MoveReason::Drained => "is drained and removed",
        MoveReason::DrainTimedOut => "is removed with work in flight, because its drain timed out",
        MoveReason::BandwidthRelief => {
            "gets less new work, because its backend exceeds the memory bandwidth limit"
        }
        MoveReason::BandwidthExceeded => {
            "is on a backend that exceeds the memory bandwidth limit, and no other has headroom"
        }
        MoveReason::TransitionStep => "starts with the new version",
        MoveReason::TransitionForced => "starts with the new version after the longest deferral",
        MoveReason::TransitionDeferred => "defers the new version until the load is lower",
        MoveReason::TransitionBehindRetirements => {
            "defers the new version until retirements by the platform are done"
        }
        MoveReason::OldVersionWithdrawn => "accepts no new work, because its version is replaced",
        MoveReason::ScaledUp => "is added to scale up",
        MoveReason::ScaledDown => "is drained to scale down",
        MoveReason::Reweighted => "gets a different share of new work",
    }
}
