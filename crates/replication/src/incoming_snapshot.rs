//! A snapshot that is being received.

use millford_api::replication::SnapshotChunk;
use millford_core::NodeId;

/// Chunks received so far, in memory; a restart begins anew.
#[derive(Debug)]
pub struct IncomingSnapshot {
    pub leader: NodeId,
    pub term: u64,
    pub last_index: u64,
    pub last_term: u64,
    pub data: Vec<u8>,
}

impl IncomingSnapshot {
    /// An empty transfer of the snapshot that a chunk belongs to.
    pub fn new(leader: NodeId, term: u64, chunk: &SnapshotChunk) -> Self {
        Self {
            leader,
            term,
            last_index: chunk.last_index,
            last_term: chunk.last_term,
            data: Vec::new(),
        }
    }

    /// Whether a chunk belongs to this snapshot. Two leaders may write the same state as different
    /// bytes, for instance in different versions, so their chunks are never put together.
    pub fn matches(&self, leader: NodeId, term: u64, chunk: &SnapshotChunk) -> bool {
        let is_same_sender = self.leader == leader && self.term == term;
        let is_same_index = self.last_index == chunk.last_index;
        is_same_sender && is_same_index && self.last_term == chunk.last_term
    }

    /// Position at which the next chunk must begin.
    pub fn next_position(&self) -> u64 {
        self.data.len() as u64
    }
}
