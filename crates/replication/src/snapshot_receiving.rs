//! Snapshot chunks as a follower handles them.

use millford_api::replication::{SnapshotChunk, SnapshotReply, replication_message::Body};
use millford_core::NodeId;
use millford_storage::SnapshotMeta;

use crate::Replica;
use crate::incoming_snapshot::IncomingSnapshot;
use crate::ready::RestoredSnapshot;
use crate::replica::read_configurations;

impl Replica {
    pub(crate) fn on_snapshot_chunk(&mut self, from: NodeId, chunk: &SnapshotChunk) {
        if chunk.last_index <= self.commit_index {
            // This replica already has every entry that the snapshot covers.
            self.reply_installed(from, chunk.last_index, 0);
            return;
        }
        let mut incoming = self.take_incoming(from, chunk);
        if incoming.next_offset() == chunk.position {
            incoming.append(&chunk.data);
            if chunk.last {
                self.finish_snapshot(from, chunk, incoming);
                return;
            }
        }
        self.request_chunk(from, chunk.last_index, incoming.next_offset());
        self.incoming_snapshot = Some(incoming);
    }

    /// Takes the current transfer if the chunk belongs to it, else starts a new one and drops the
    /// chunks received for the current one.
    fn take_incoming(&mut self, from: NodeId, chunk: &SnapshotChunk) -> IncomingSnapshot {
        let term = self.term;
        let known = self.incoming_snapshot.take();
        let known = known.filter(|incoming| incoming.matches(from, term, chunk));
        known.unwrap_or_else(|| IncomingSnapshot::new(from, term, chunk))
    }

    fn finish_snapshot(&mut self, from: NodeId, chunk: &SnapshotChunk, incoming: IncomingSnapshot) {
        let next_offset = incoming.next_offset();
        if self.install_snapshot(chunk, incoming.into_data()) {
            self.reply_installed(from, chunk.last_index, next_offset);
        }
    }

    /// Replaces the log up to the snapshot's last entry, and the owner's state, by a complete
    /// snapshot. Returns false if the storage failed.
    fn install_snapshot(&mut self, chunk: &SnapshotChunk, data: Vec<u8>) -> bool {
        let meta = SnapshotMeta {
            index: chunk.last_index,
            term: chunk.last_term,
            voters: chunk.voters.clone().unwrap_or_default(),
        };
        // The hard state is stored first: recovery treats a snapshot without one as corruption,
        // because a vote may have been lost.
        let stored = self
            .store_hard_state()
            .and_then(|()| self.storage.install_snapshot(meta, data.clone()));
        if let Err(error) = stored {
            self.record_storage_error(error);
            return false;
        }
        self.configurations = read_configurations(&self.storage);
        self.commit_index = chunk.last_index;
        self.delivered_index = chunk.last_index;
        self.pending.restored = Some(RestoredSnapshot {
            index: chunk.last_index,
            term: chunk.last_term,
            data,
        });
        true
    }

    fn reply_installed(&mut self, to: NodeId, last_index: u64, next_position: u64) {
        let reply = SnapshotReply {
            last_index,
            next_position,
            installed: true,
        };
        self.send(to, Body::SnapshotReply(reply));
    }

    /// Requests the chunk that begins at byte `next_position`.
    fn request_chunk(&mut self, to: NodeId, last_index: u64, next_position: u64) {
        let reply = SnapshotReply {
            last_index,
            next_position,
            installed: false,
        };
        self.send(to, Body::SnapshotReply(reply));
    }
}
