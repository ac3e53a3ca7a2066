//! Events of a control node, for the log and the simulator's trace.

use std::fmt;

use millford_core::{NodeId, ResultCode, ShardId};
use millford_placement::MoveReason;

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
    /// This replica lost contact with the shard's quorum.
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
    /// A node that timed out was removed from the membership.
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

impl fmt::Display for NodeEvent {
    /// The event as a log line.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::IdentityMinted(node) => {
                write!(formatter, "The disk is empty; this node is {node} now.")
            }
            Self::ClusterFormed(cluster) => write!(formatter, "Formed cluster {cluster:016x}."),
            Self::JoinedAsStandby(cluster) => {
                write!(formatter, "Joined cluster {cluster:016x} as a standby.")
            }
            Self::StartedOver(node) => {
                write!(formatter, "This node starts over empty, as {node}.")
            }
            Self::Leader {
                shard,
                leader,
                term,
            } => write!(
                formatter,
                "Node {leader} leads shard {shard} in term {term}."
            ),
            Self::LostQuorum(shard) => write!(formatter, "Shard {shard} lost its quorum."),
            Self::VotersChange {
                shard,
                change,
                node,
            } => write!(formatter, "Shard {shard}: {change} {node}."),
            Self::MemberRemoved(node) => write!(
                formatter,
                "Control node {node} timed out and was removed from the membership."
            ),
            Self::ConfigurationAccepted(revision) => {
                write!(formatter, "Revision {revision} applied.")
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
                "Pool {pool}: {replica} {}.",
                reason_text(*reason)
            ),
            Self::MorePlacements { pool, more } => {
                write!(formatter, "Pool {pool}: {more} more moves.")
            }
            Self::RecoveryForced(shard) => write!(
                formatter,
                "FORCED RECOVERY: this node is the only voter of shard {shard}; orders may be lost."
            ),
        }
    }
}

/// The reason as the end of a sentence.
fn reason_text(reason: MoveReason) -> &'static str {
    match reason {
        MoveReason::Fenced => "is left alone, as a later leader places it",
        MoveReason::Placed => "takes new work",
        MoveReason::Retired => "is retired by the platform",
        MoveReason::Drained => "is empty and removed",
        MoveReason::DrainTimedOut => "is removed with work still open",
        MoveReason::BandwidthRelief => "gets less work, for its memory bandwidth",
        MoveReason::BandwidthExceeded => "is over its memory bandwidth, with no capacity elsewhere",
        MoveReason::TransitionStep => "starts with the new version",
        MoveReason::TransitionForced => "starts with the new version, deferred for too long",
        MoveReason::TransitionDeferred => "waits with the new version for lower load",
        MoveReason::TransitionBehindRetirements => "waits with the new version for retirements",
        MoveReason::OldVersionWithdrawn => "takes no new work, as its version is old",
        MoveReason::ScaledUp => "is added for more load",
        MoveReason::ScaledDown => "is taken away for less load",
        MoveReason::Reweighted => "gets another share of new work",
    }
}
