//! Why a replica rejects a request of its owner.

use millford_core::NodeId;
use millford_storage::StorageError;
use thiserror::Error;

/// Only the leader accepts this request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this replica does not lead the group")]
pub struct NotLeader {
    /// The leader, as far as known; [`NodeId::NONE`] otherwise.
    pub hint: NodeId,
}

/// Why a change of the voters is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VoterChangeError {
    /// Only the leader changes voters.
    #[error("this replica does not lead the group")]
    NotLeader {
        /// The leader, as far as known.
        hint: NodeId,
    },
    /// An earlier change is not committed yet.
    #[error("an earlier change of the voters is not committed yet")]
    ChangePending,
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader has not committed an entry of its own term yet")]
    TermNotCommitted,
    /// The node is what the change would make it.
    #[error("the change makes no difference")]
    NoDifference,
    /// Only a learner can be promoted.
    #[error("the node is no learner")]
    NotLearner,
    /// The learner lacks entries or is unreachable.
    #[error("the learner has not caught up")]
    NotCaughtUp,
    /// The changed group would have no quorum of voters that were in contact lately, and could
    /// not even commit the change.
    #[error("the changed group would have no reachable quorum")]
    NoQuorum,
    /// The last voter cannot be removed.
    #[error("the last voter cannot be removed")]
    LastVoter,
    /// The leadership is being transferred.
    #[error("the leadership is being transferred")]
    TransferInProgress,
}

/// Why a transfer of the leadership is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TransferError {
    /// Only the leader transfers the leadership.
    #[error("this replica does not lead the group")]
    NotLeader {
        /// The leader, as far as known.
        hint: NodeId,
    },
    /// Only another voter can become leader.
    #[error("the node is no other voter")]
    NotVoter,
    /// There was no contact with the voter lately.
    #[error("the voter is unreachable")]
    TargetUnreachable,
    /// A transfer is in progress.
    #[error("a transfer is in progress")]
    InProgress,
}

/// Why a snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The index was not delivered as committed yet.
    #[error("the index has not been delivered yet")]
    NotDelivered,
    /// A snapshot of this index or a later one exists.
    #[error("there is a newer snapshot")]
    Outdated,
    /// The snapshot could not be stored; [`StorageError::Full`] leaves the replica usable.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// Why a replica cannot be opened.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    /// The storage belongs to another identity, whose votes this one must not continue.
    #[error("the storage belongs to node {owner}")]
    ForeignStorage {
        /// The identity that wrote the storage.
        owner: NodeId,
    },
    /// [`NodeId::NONE`] cannot be a replica's identity.
    #[error("the node id is missing")]
    NodeIdMissing,
    /// The storage failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
}
