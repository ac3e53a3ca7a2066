//! Errors of a replica's operations.

use millford_core::NodeId;
use millford_storage::StorageError;
use thiserror::Error;

/// The request was rejected because only the leader accepts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this replica is not the leader")]
pub struct NotLeader {
    /// The leader, or the target of its transfer in progress; [`NodeId::NONE`] if unknown.
    pub hint: NodeId,
}

/// Reason why a configuration change was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VoterChangeError {
    /// This replica is not the leader.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The leader; [`NodeId::NONE`] if unknown.
        hint: NodeId,
    },
    /// An earlier change is not committed yet.
    #[error("an earlier configuration change is not committed yet")]
    ChangePending,
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader has not committed an entry of its own term yet")]
    TermNotCommitted,
    /// The node to add is already a member or has no identity, or the node to remove is not a
    /// member.
    #[error("the change has no effect on the configuration")]
    NoDifference,
    /// The node to promote is not a learner.
    #[error("the node is not a learner")]
    NotLearner,
    /// The learner lacks too many entries or was not in contact recently.
    #[error("the learner has not caught up")]
    NotCaughtUp,
    /// Fewer than a quorum of the new configuration's voters were in contact recently, so the
    /// change itself could not be committed.
    #[error("the new configuration would have no reachable quorum")]
    NoQuorum,
    /// The node to remove is the only voter.
    #[error("the last voter cannot be removed")]
    LastVoter,
    /// The leadership is being transferred.
    #[error("a leadership transfer is in progress")]
    TransferInProgress,
}

/// Reason why a leadership transfer was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TransferError {
    /// This replica is not the leader.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The leader; [`NodeId::NONE`] if unknown.
        hint: NodeId,
    },
    /// The target is this replica, a learner or not a member.
    #[error("the target is not another voter of the group")]
    NotVoter,
    /// The target was not in contact within the quorum timeout.
    #[error("the target is unreachable")]
    TargetUnreachable,
    /// Another transfer has not finished yet.
    #[error("a leadership transfer is already in progress")]
    InProgress,
}

/// Reason why a snapshot was not saved.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// No flush has returned the entry of this index as committed yet.
    #[error("the index has not been delivered as committed yet")]
    NotDelivered,
    /// The newest snapshot has this index or a later one.
    #[error("a snapshot of this or a later index exists")]
    Outdated,
    /// The snapshot could not be stored. After [`StorageError::Full`] the replica is still usable.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// Reason why a replica could not be opened.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    /// The storage belongs to another identity, and its votes must not be used under this one.
    #[error("the storage belongs to node {owner}")]
    ForeignStorage {
        /// The identity that wrote the storage.
        owner: NodeId,
    },
    /// The identity in the options is [`NodeId::NONE`].
    #[error("the node ID is missing")]
    NodeIdMissing,
    /// The first entry of a new group could not be stored.
    #[error(transparent)]
    Storage(#[from] StorageError),
}
