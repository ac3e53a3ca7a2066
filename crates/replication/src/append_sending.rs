//! Append requests as a leader sends them (Raft thesis, sections 3.5 and 10.2.2).

use millford_api::replication::{AppendRequest, LogEntry, replication_message::Body};
use millford_core::NodeId;

use crate::Replica;
use crate::progress::{Progress, ProgressState};
use crate::role::RoleState;

impl Replica {
    /// Sends each peer the entries, snapshot chunk or heartbeat that its progress calls for. Called
    /// after the sync, so that only durable entries are sent.
    pub(crate) fn send_to_peers(&mut self) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let broadcast_due = std::mem::take(&mut state.broadcast_due);
        let nodes: Vec<NodeId> = state.peers.keys().copied().collect();
        for node in nodes {
            self.send_to_peer(node, broadcast_due);
        }
    }

    fn send_to_peer(&mut self, node: NodeId, broadcast_due: bool) {
        // Removed from the map while messages are built from `self`; inserted again at the end.
        let Some(mut peer) = self.take_peer(node) else {
            return;
        };
        if self.needs_snapshot(&peer) {
            self.start_snapshot(&mut peer);
        }
        match &mut peer.state {
            ProgressState::Probe { .. } => self.send_probe(node, &mut peer, broadcast_due),
            ProgressState::Replicate => self.send_entries(node, &mut peer, broadcast_due),
            ProgressState::Snapshot(_) => self.send_chunk(node, &mut peer, broadcast_due),
        }
        if let Some(state) = self.leader_state() {
            state.peers.insert(node, peer);
        }
    }

    fn take_peer(&mut self, node: NodeId) -> Option<Progress> {
        self.leader_state()?.peers.remove(&node)
    }

    fn needs_snapshot(&self, peer: &Progress) -> bool {
        let previous_index = peer.next_index() - 1;
        let is_compacted = peer.next_index() < self.storage.first_index();
        let is_missing = is_compacted || self.storage.term_at(previous_index).is_none();
        !peer.receives_snapshot() && is_missing
    }

    /// Sends one message at a time while the match index is unknown, and repeats it at each
    /// heartbeat.
    fn send_probe(&mut self, node: NodeId, peer: &mut Progress, broadcast_due: bool) {
        let ProgressState::Probe { awaiting_reply } = &mut peer.state else {
            return;
        };
        if *awaiting_reply && !broadcast_due {
            return;
        }
        *awaiting_reply = true;
        let entries = self.entries_from(peer.next_index());
        self.send_append(node, peer, peer.next_index() - 1, entries);
    }

    /// Sends all entries that the in-flight window allows. Sends an empty message if there are none
    /// and a heartbeat or a newer commit index is due.
    fn send_entries(&mut self, node: NodeId, peer: &mut Progress, broadcast_due: bool) {
        let last_index = self.storage.synced_index();
        let mut is_sent = false;
        while peer.next_index() <= last_index
            && peer.in_flight() < self.options.limits.appends_in_flight
        {
            let entries = self.entries_from(peer.next_index());
            let Some(last) = entries.last().map(|entry| entry.index) else {
                break;
            };
            let previous_index = peer.next_index() - 1;
            peer.record_sent_entries(last);
            self.send_append(node, peer, previous_index, entries);
            is_sent = true;
        }
        let commit_due = peer.sent_commit_index() < self.commit_index;
        if !is_sent && (broadcast_due || commit_due) {
            self.send_append(node, peer, peer.next_index() - 1, Vec::new());
        }
    }

    fn entries_from(&self, index: u64) -> Vec<LogEntry> {
        let last_index = self.storage.synced_index();
        let limit = self.options.limits.append_bytes;
        self.storage.entries(index, last_index, limit)
    }

    /// Sends entries that follow `previous_index`. Sends nothing if the term of that index is
    /// unknown because the log was compacted.
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
        peer.record_sent_commit(self.commit_index);
        let request = AppendRequest {
            previous_index,
            previous_term,
            entries,
            commit_index: self.commit_index,
            read_sequence: self.last_read_sequence(),
        };
        self.send(node, Body::AppendRequest(request));
    }

    fn last_read_sequence(&self) -> u64 {
        match &self.role {
            RoleState::Leader(state) => state.reads.last_sequence(),
            _ => 0,
        }
    }
}
