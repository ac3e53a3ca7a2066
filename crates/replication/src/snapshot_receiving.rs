//! Snapshots that come from the leader.

use millford_api::replication::{SnapshotChunk, SnapshotReply, replication_message::Body};
use millford_core::NodeId;
use millford_storage::SnapshotMeta;

use crate::Replica;
use crate::incoming_snapshot::IncomingSnapshot;
use crate::ready::RestoredSnapshot;
use crate::replica::read_configurations;

impl Replica {
    pub(crate) fn on_snapshot_chunk(&mut self, from: NodeId, chunk: SnapshotChunk) {
        if chunk.last_index <= self.commit_index {
            // Everything that the snapshot covers is held already.
            self.reply_snapshot(from, chunk.last_index, 0, true);
            return;
        }
        let term = self.term;
        let known = self.incoming.take();
        let known = known.filter(|incoming| incoming.matches(from, term, &chunk));
        self.incoming = known.or_else(|| Some(IncomingSnapshot::new(from, term, &chunk)));
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        if incoming.next_position() != chunk.position {
            let desired = incoming.next_position();
            self.reply_snapshot(from, chunk.last_index, desired, false);
            return;
        }
        incoming.data.extend_from_slice(&chunk.data);
        let next_position = incoming.next_position();
        if !chunk.last {
            self.reply_snapshot(from, chunk.last_index, next_position, false);
            return;
        }
        let data = std::mem::take(&mut incoming.data);
        self.incoming = None;
        if self.install(&chunk, data) {
            self.reply_snapshot(from, chunk.last_index, next_position, true);
        }
    }

    /// Replaces the log's beginning, and the owner's state, by a whole snapshot.
    fn install(&mut self, chunk: &SnapshotChunk, data: Vec<u8>) -> bool {
        let meta = SnapshotMeta {
            index: chunk.last_index,
            term: chunk.last_term,
            voters: chunk.voters.clone().unwrap_or_default(),
        };
        // The hard state goes first: data without one would look like a forgotten vote.
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
        self.restored = Some(RestoredSnapshot {
            index: chunk.last_index,
            term: chunk.last_term,
            data,
        });
        true
    }

    fn reply_snapshot(&mut self, to: NodeId, last_index: u64, next_position: u64, installed: bool) {
        let reply = SnapshotReply {
            last_index,
            next_position,
            installed,
        };
        self.send(to, Body::SnapshotReply(reply));
    }
}
