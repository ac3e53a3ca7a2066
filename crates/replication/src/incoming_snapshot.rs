//! State of a snapshot transfer on the receiving replica.

use millford_api::replication::SnapshotChunk;
use millford_core::NodeId;

use crate::log_position::LogPosition;

/// Chunks received so far. They are in memory only, so a transfer starts over after a restart.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    leader: NodeId,
    /// Term in which the leader sends it.
    leader_term: u64,
    /// Last entry that the snapshot covers.
    last: LogPosition,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    /// Starts a transfer of the snapshot that a chunk belongs to, without the chunk's data.
    pub(crate) fn new(leader: NodeId, leader_term: u64, chunk: &SnapshotChunk) -> Self {
        Self {
            leader,
            leader_term,
            last: last_position_of(chunk),
            data: Vec::new(),
        }
    }

    /// Whether a chunk belongs to this transfer. Two leaders may encode the same state as different
    /// bytes, for instance with different versions, so their chunks are never combined.
    pub(crate) fn matches(&self, leader: NodeId, leader_term: u64, chunk: &SnapshotChunk) -> bool {
        let is_same_sender = self.leader == leader && self.leader_term == leader_term;
        is_same_sender && self.last == last_position_of(chunk)
    }

    /// Offset at which the next chunk must begin, in bytes.
    pub(crate) fn next_offset(&self) -> u64 {
        self.data.len() as u64
    }

    /// Appends the data of the next chunk.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        self.data.extend_from_slice(bytes);
    }

    /// Returns the data received so far.
    pub(crate) fn into_data(self) -> Vec<u8> {
        self.data
    }
}

fn last_position_of(chunk: &SnapshotChunk) -> LogPosition {
    LogPosition {
        term: chunk.last_term,
        index: chunk.last_index,
    }
}
