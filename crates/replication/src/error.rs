//! Why a replica refuses a call.

use millford_core::NodeId;
use millford_storage::StorageError;
use thiserror::Error;

/// Only the leader takes this call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this replica does not lead the group")]
pub struct NotLeader {
    /// The leader, as far as known; [`NodeId::NONE`] otherwise.
    pub hint: NodeId,
}

/// Why a change of the voters is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChangeRefused {
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
    /// The learner lacks entries or is out of touch.
    #[error("the learner has not caught up")]
    NotCaughtUp,
    /// The changed group would have no quorum of voters that were heard from lately, and could
    /// not even commit the change.
    #[error("the changed group would have no quorum in touch")]
    NoQuorum,
    /// The last voter cannot be removed.
    #[error("the last voter cannot be removed")]
    LastVoter,
    /// The leadership is being handed over.
    #[error("the leadership is being handed over")]
    Transferring,
}

/// Why a transfer of the leadership is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TransferRefused {
    /// Only the leader hands over.
    #[error("this replica does not lead the group")]
    NotLeader {
        /// The leader, as far as known.
        hint: NodeId,
    },
    /// Only another voter can take over.
    #[error("the node is no other voter")]
    NotVoter,
    /// The voter was not heard from lately.
    #[error("the voter is out of touch")]
    TargetUnreachable,
    /// A transfer is under way.
    #[error("a transfer is under way")]
    Transferring,
}

/// Why a snapshot is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotRefused {
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
