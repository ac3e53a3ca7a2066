//! Append replies as a leader handles them.

use millford_api::replication::AppendReply;
use millford_core::NodeId;

use crate::Replica;
use crate::progress::{Progress, ProgressState};

impl Replica {
    pub(crate) fn on_append_reply(&mut self, from: NodeId, reply: AppendReply) {
        let last_index = self.storage.last_index();
        let Some(state) = self.leader_state() else {
            return;
        };
        let last_sequence = state.reads.last_sequence();
        let Some(peer) = state.peers.get_mut(&from) else {
            return;
        };
        // A rejection of the current term confirms the leadership as well.
        peer.record_read_sequence(reply.read_sequence.min(last_sequence));
        if !reply.accepted {
            on_rejected(peer, &reply);
        } else if reply.match_index <= last_index {
            on_accepted(peer, reply.match_index);
        }
    }
}

fn on_accepted(peer: &mut Progress, match_index: u64) {
    peer.record_match(match_index);
    match &peer.state {
        ProgressState::Probe { .. } => peer.become_replicate(),
        ProgressState::Replicate => {}
        ProgressState::Snapshot(transfer) => {
            if peer.match_index() >= transfer.snapshot.meta.index {
                peer.become_replicate();
            }
        }
    }
}

fn on_rejected(peer: &mut Progress, reply: &AppendReply) {
    let is_stale = match &peer.state {
        ProgressState::Probe { .. } => reply.previous_index + 1 != peer.next_index(),
        ProgressState::Replicate => reply.previous_index <= peer.match_index(),
        ProgressState::Snapshot(_) => true,
    };
    if is_stale {
        return;
    }
    if reply.previous_index <= peer.match_index() {
        // The peer rejects entries that it had acknowledged, so its disk lost synced data. An
        // immediate probe would get the same reply again; the next heartbeat probes in any case.
        return;
    }
    let hint = reply.match_index.min(reply.previous_index - 1);
    peer.become_probe(hint + 1);
}
