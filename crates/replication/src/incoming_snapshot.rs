//! A snapshot that is being received.

use millford_api::replication::SnapshotChunk;
use millford_core::NodeId;

use crate::log_position::LogPosition;

/// Chunks received so far, in memory; a restart begins anew.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    leader: NodeId,
    /// Term of the leader that sends it.
    leader_term: u64,
    /// Last entry that the snapshot covers.
    last: LogPosition,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    /// An empty transfer of the snapshot that a chunk belongs to.
    pub(crate) fn new(leader: NodeId, leader_term: u64, chunk: &SnapshotChunk) -> Self {
        Self {
            leader,
            leader_term,
            last: last_position_of(chunk),
            data: Vec::new(),
        }
    }

    /// Whether a chunk belongs to this snapshot. Two leaders may write the same state as different
    /// bytes, for instance in different versions, so their chunks are never put together.
    pub(crate) fn matches(&self, leader: NodeId, leader_term: u64, chunk: &SnapshotChunk) -> bool {
        let is_same_sender = self.leader == leader && self.leader_term == leader_term;
        is_same_sender && self.last == last_position_of(chunk)
    }

    /// Offset at which the next chunk must begin, in bytes.
    pub(crate) fn next_offset(&self) -> u64 {
        self.data.len() as u64
    }

    /// Appends the bytes of the next chunk.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        self.data.extend_from_slice(bytes);
    }

    /// The bytes received so far.
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
