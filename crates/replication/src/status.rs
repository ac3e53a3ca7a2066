//! Status of a replica, for its owner.

use millford_core::{MonotonicTime, NodeId};

use crate::Role;

/// State of a replica at one moment.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts that the owner reads one by one"
)]
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Role.
    pub role: Role,
    /// Term.
    pub term: u64,
    /// The leader as far as known; [`NodeId::NONE`] otherwise.
    pub leader: NodeId,
    /// Last contact with the leader; `None` before the first. On the leader: last contact with a
    /// quorum.
    pub leader_contact: Option<MonotonicTime>,
    /// Last committed index.
    pub commit_index: u64,
    /// Last index of the log.
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
    /// Whether the group's committed configuration does not hold this replica any more.
    pub removed: bool,
    /// Whether the disk was full lately: the replica stores nothing and falls behind.
    pub storage_full: bool,
    /// On a leader: whether its first entry is committed, so that it serves reads and membership
    /// changes.
    pub leads_confirmed: bool,
    /// On a leader: the other replicas.
    pub peers: Vec<PeerStatus>,
}

/// What a leader knows of another replica.
#[derive(Clone, Copy, Debug)]
pub struct PeerStatus {
    /// The replica's node.
    pub node: NodeId,
    /// Whether it votes.
    pub is_voter: bool,
    /// Last index known to be durable there.
    pub match_index: u64,
    /// Last contact in this term; the start of the term before the first.
    pub last_contact: MonotonicTime,
    /// Whether it has caught up, so that a learner may be promoted.
    pub caught_up: bool,
    /// Whether it receives a snapshot.
    pub receives_snapshot: bool,
}
