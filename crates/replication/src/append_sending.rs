//! Entries that a leader sends.

use millford_api::replication::{AppendRequest, LogEntry, replication_message::Body};
use millford_core::NodeId;

use crate::Replica;
use crate::progress::{Progress, SendState};
use crate::role::RoleState;

impl Replica {
    /// Sends every replica what it needs. Called after the sync, so that only durable entries
    /// leave.
    pub(crate) fn send_to_peers(&mut self) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let message_due = std::mem::take(&mut state.message_due);
        let nodes: Vec<NodeId> = state.peers.keys().copied().collect();
        for node in nodes {
            self.send_to_peer(node, message_due);
        }
    }

    fn send_to_peer(&mut self, node: NodeId, message_due: bool) {
        // Taken out while messages are made, and put back after.
        let Some(mut peer) = self.take_peer(node) else {
            return;
        };
        if self.needs_snapshot(&peer) {
            self.start_snapshot(&mut peer);
        }
        match &mut peer.state {
            SendState::Probe { .. } => self.send_probe(node, &mut peer, message_due),
            SendState::Replicate => self.send_entries(node, &mut peer, message_due),
            SendState::Snapshot(_) => self.send_chunk(node, &mut peer, message_due),
        }
        if let Some(state) = self.leader_state() {
            state.peers.insert(node, peer);
        }
    }

    fn take_peer(&mut self, node: NodeId) -> Option<Progress> {
        self.leader_state()?.peers.remove(&node)
    }

    fn needs_snapshot(&self, peer: &Progress) -> bool {
        let receives = matches!(peer.state, SendState::Snapshot(_));
        let previous = peer.next_index - 1;
        let is_compacted = peer.next_index < self.storage.first_index();
        !receives && (is_compacted || self.storage.term_at(previous).is_none())
    }

    /// One message at a time until the match is known; again at each heartbeat.
    fn send_probe(&mut self, node: NodeId, peer: &mut Progress, message_due: bool) {
        let SendState::Probe { waiting } = &mut peer.state else {
            return;
        };
        if *waiting && !message_due {
            return;
        }
        *waiting = true;
        let entries = self.entries_from(peer.next_index);
        self.send_append(node, peer, peer.next_index - 1, entries);
    }

    /// Everything that fits the window, else an empty message when one is due.
    fn send_entries(&mut self, node: NodeId, peer: &mut Progress, message_due: bool) {
        let last_index = self.storage.synced_index();
        let mut is_sent = false;
        while peer.next_index <= last_index
            && peer.in_flight() < self.options.limits.appends_in_flight
        {
            let entries = self.entries_from(peer.next_index);
            let Some(last) = entries.last().map(|entry| entry.index) else {
                break;
            };
            let previous_index = peer.next_index - 1;
            peer.sent_entries(last);
            self.send_append(node, peer, previous_index, entries);
            is_sent = true;
        }
        let commit_due = peer.sent_commit < self.commit_index;
        if !is_sent && (message_due || commit_due) {
            self.send_append(node, peer, peer.next_index - 1, Vec::new());
        }
    }

    fn entries_from(&self, index: u64) -> Vec<LogEntry> {
        let last_index = self.storage.synced_index();
        let limit = self.options.limits.append_bytes;
        self.storage.entries(index, last_index, limit)
    }

    /// Sends entries behind `previous_index`, whose term the log must know.
    pub(crate) fn send_append(
        &mut self,
        node: NodeId,
        peer: &mut Progress,
        previous_index: u64,
        entries: Vec<LogEntry>,
    ) {
        let Some(previous_term) = self.storage.term_at(previous_index) else {
            return;
        };
        peer.sent_commit = self.commit_index;
        let request = AppendRequest {
            previous_index,
            previous_term,
            entries,
            commit_index: self.commit_index,
            read_sequence: self.last_read_round(),
        };
        self.send(node, Body::AppendRequest(request));
    }

    fn last_read_round(&self) -> u64 {
        match &self.role {
            RoleState::Leader(state) => state.last_round,
            _ => 0,
        }
    }
}
