//! What a flush hands to the replica's owner.

use millford_api::replication::{LogEntry, ReplicationMessage};

/// Results of a flush, in the order in which the owner handles them: `restored` before
/// `committed`, and these before `confirmed_reads`.
#[derive(Debug, Default)]
pub struct Ready {
    /// Messages that may leave now. They may be lost, duplicated or reordered in transit.
    pub messages: Vec<ReplicationMessage>,
    /// A snapshot that replaces the owner's state, from disk at the start or from the leader.
    pub restored: Option<RestoredSnapshot>,
    /// Newly committed entries of all kinds, without a gap.
    pub committed: Vec<LogEntry>,
    /// Reads that may be answered once the owner has applied their index.
    pub confirmed_reads: Vec<ConfirmedRead>,
    /// Reads that this replica cannot confirm any more.
    pub failed_reads: Vec<u64>,
    /// Whether the replica became leader since the last flush.
    pub became_leader: bool,
    /// Whether the replica lost the leadership since the last flush. The fate of its uncommitted proposals
    /// is open: they may still be committed by the next leader.
    pub lost_leadership: bool,
    /// Whether the disk had no space: what came in since the last flush was neither stored nor answered.
    pub storage_full: bool,
}

/// State of the owner's state machine as of an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredSnapshot {
    /// Last index that the state covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Bytes passed to [`crate::Replica::save_snapshot`], here or on another replica.
    pub data: Vec<u8>,
}

/// A read that a quorum confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// Number passed to [`crate::Replica::read_index`].
    pub request: u64,
    /// The state as of this index, or later, answers the read.
    pub index: u64,
}
