//! Snapshot transfers as a leader sends them, to a peer that needs entries which were compacted
//! (Raft thesis, section 5.1).

use millford_api::replication::{SnapshotChunk, SnapshotReply, replication_message::Body};
use millford_core::{MonotonicTime, NodeId};

use crate::Replica;
use crate::progress::{Progress, ProgressState, SnapshotTransfer};

/// Heartbeat intervals after which an unanswered chunk is sent again.
const RESEND_HEARTBEATS: u32 = 3;

impl Replica {
    pub(crate) fn start_snapshot(&self, peer: &mut Progress) {
        if let Some(snapshot) = self.storage.snapshot() {
            peer.become_snapshot(snapshot.clone());
        }
    }

    /// Sends the next chunk unless one is in flight, and a heartbeat when one is due.
    pub(crate) fn send_chunk(&mut self, node: NodeId, peer: &mut Progress, broadcast_due: bool) {
        if broadcast_due {
            // The previous index 0 matches any log, so this message is a heartbeat that also
            // confirms reads.
            self.send_append(node, peer, 0, Vec::new());
        }
        let now = self.now;
        let resend_after = self.options.timing.heartbeat * RESEND_HEARTBEATS;
        let ProgressState::Snapshot(transfer) = &mut peer.state else {
            return;
        };
        let is_in_flight = transfer
            .sent_at
            .is_some_and(|sent_at| now.since(sent_at) < resend_after);
        if is_in_flight {
            return;
        }
        let chunk = self.next_chunk(transfer, now);
        self.send(node, Body::SnapshotChunk(chunk));
    }

    fn next_chunk(&self, transfer: &mut SnapshotTransfer, now: MonotonicTime) -> SnapshotChunk {
        transfer.sent_at = Some(now);
        let data = &transfer.snapshot.data;
        let start = usize::try_from(transfer.offset).unwrap_or(usize::MAX);
        let start = start.min(data.len());
        let end = (start + self.options.limits.snapshot_chunk_bytes).min(data.len());
        SnapshotChunk {
            last_index: transfer.snapshot.meta.index,
            last_term: transfer.snapshot.meta.term,
            voters: Some(transfer.snapshot.meta.voters.clone()),
            position: start as u64,
            data: data[start..end].to_vec(),
            last: end == data.len(),
            commit_index: self.commit_index,
        }
    }

    pub(crate) fn on_snapshot_reply(&mut self, from: NodeId, reply: SnapshotReply) {
        let state = self.leader_state();
        let Some(peer) = state.and_then(|state| state.peers.get_mut(&from)) else {
            return;
        };
        let ProgressState::Snapshot(transfer) = &mut peer.state else {
            return;
        };
        if transfer.snapshot.meta.index != reply.last_index {
            return;
        }
        if reply.installed {
            peer.record_match(reply.last_index);
            peer.become_replicate();
        } else if transfer.offset != reply.next_position {
            transfer.offset = reply.next_position;
            transfer.sent_at = None;
        }
    }
}
