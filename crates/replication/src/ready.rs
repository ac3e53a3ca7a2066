//! Output of a flush for the replica's owner.

use millford_api::replication::{LogEntry, ReplicationMessage};

/// Results of a flush. The owner must handle `restored` before `committed`, and both before
/// `confirmed_reads`.
#[derive(Debug, Default)]
pub struct Ready {
    /// Messages to send. The transport may lose, duplicate or reorder them.
    pub messages: Vec<ReplicationMessage>,
    /// A snapshot that replaces the owner's state: read from disk when the replica was opened, or
    /// received from the leader.
    pub restored: Option<RestoredSnapshot>,
    /// Newly committed entries of all kinds, contiguous with those of earlier flushes and with
    /// `restored`.
    pub committed: Vec<LogEntry>,
    /// Reads that may be answered once the owner has applied their index.
    pub confirmed_reads: Vec<ConfirmedRead>,
    /// Numbers of reads that can no longer be confirmed because this replica stopped leading.
    pub failed_reads: Vec<u64>,
    /// Whether the replica became leader since the last flush.
    pub became_leader: bool,
    /// Whether the replica lost the leadership since the last flush. The outcome of its uncommitted
    /// proposals is undetermined: the next leader may still commit them.
    pub lost_leadership: bool,
    /// Whether the disk was full: input since the last flush was neither stored nor answered.
    pub storage_full: bool,
}

/// A snapshot of the owner's state machine as of an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredSnapshot {
    /// Index of the last entry that the state includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Bytes passed to [`crate::Replica::save_snapshot`] on this replica or another one.
    pub data: Vec<u8>,
}

/// A read for which a quorum confirmed the leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// Number passed to [`crate::Replica::read_index`].
    pub request: u64,
    /// Lowest applied index at which the owner may answer the read.
    pub index: u64,
}
