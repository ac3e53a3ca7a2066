//! Status of a replica, as reported to its owner.

use millford_core::{MonotonicTime, NodeId};

use crate::Role;

/// Copy of a replica's state at one point in time.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts that the owner reads one by one"
)]
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Role in the current term.
    pub role: Role,
    /// Current term, which may be newer than the stored one until the next flush.
    pub term: u64,
    /// The leader of the current term; [`NodeId::NONE`] if unknown.
    pub leader: NodeId,
    /// Time of the last contact with a leader; `None` before the first. On the leader: time of the
    /// last contact with a quorum.
    pub leader_contact: Option<MonotonicTime>,
    /// Last index that this replica has found to be committed.
    pub commit_index: u64,
    /// Last index of the log, synced or not.
    pub last_index: u64,
    /// Index of the newest snapshot; 0 without one.
    pub snapshot_index: u64,
    /// Bytes of the log on disk.
    pub log_bytes: u64,
    /// Voters of the configuration in force.
    pub voters: Vec<NodeId>,
    /// Learners of the configuration in force.
    pub learners: Vec<NodeId>,
    /// Whether the configuration in force is committed.
    pub configuration_committed: bool,
    /// Whether the group's committed configuration no longer contains this replica.
    pub removed: bool,
    /// Whether the disk was full recently, so that the replica does not campaign. While the disk is
    /// full, the replica stores nothing and falls behind.
    pub storage_full: bool,
    /// On a leader: whether an entry of its own term is committed, so that it serves reads and
    /// configuration changes. False on other replicas.
    pub leads_confirmed: bool,
    /// On a leader: the other replicas. Empty on other replicas.
    pub peers: Vec<PeerStatus>,
}

/// State of another replica, as the leader tracks it.
#[derive(Clone, Copy, Debug)]
pub struct PeerStatus {
    /// Node of the replica.
    pub node: NodeId,
    /// Whether it is a voter; else it is a learner.
    pub is_voter: bool,
    /// Highest index up to which its durable log is known to match; 0 while unknown.
    pub match_index: u64,
    /// Time of the last contact in the current term. Before the first, the time at which the leader
    /// began to track it.
    pub last_contact: MonotonicTime,
    /// Whether it was in contact recently and lacks at most [`crate::Limits::promotion_lag`]
    /// committed entries, as the promotion of a learner requires.
    pub caught_up: bool,
    /// Whether a snapshot is being sent to it.
    pub receives_snapshot: bool,
}
