//! Answers to a leader's entries.

use millford_api::replication::AppendReply;
use millford_core::NodeId;

use crate::Replica;
use crate::progress::{Progress, SendState};

impl Replica {
    pub(crate) fn on_append_reply(&mut self, from: NodeId, reply: AppendReply) {
        let last_index = self.storage.last_index();
        let Some(state) = self.leader_state() else {
            return;
        };
        let last_round = state.last_round;
        let Some(peer) = state.peers.get_mut(&from) else {
            return;
        };
        // A refusal confirms the leadership as well: it is of the present term.
        peer.read_sequence = peer.read_sequence.max(reply.read_sequence.min(last_round));
        if !reply.accepted {
            refused(peer, &reply);
        } else if reply.match_index <= last_index {
            accepted(peer, reply.match_index);
        }
    }
}

fn accepted(peer: &mut Progress, match_index: u64) {
    peer.accepted(match_index);
    match &peer.state {
        SendState::Probe { .. } => peer.replicate(),
        SendState::Replicate => {}
        SendState::Snapshot(transfer) => {
            if peer.match_index >= transfer.snapshot.meta.index {
                peer.replicate();
            }
        }
    }
}

fn refused(peer: &mut Progress, reply: &AppendReply) {
    let is_late = match &peer.state {
        SendState::Probe { .. } => reply.previous_index + 1 != peer.next_index,
        SendState::Replicate => reply.previous_index <= peer.match_index,
        SendState::Snapshot(_) => true,
    };
    if is_late {
        return;
    }
    if reply.previous_index <= peer.match_index {
        // The replica denies what it acknowledged: its disk lost synced data. Asking again at once
        // would only repeat the answer; the next heartbeat does.
        return;
    }
    let hint = reply.match_index.min(reply.previous_index - 1);
    peer.probe(hint + 1);
}
