//! Entries that come from the leader.

use millford_api::replication::{AppendReply, AppendRequest, LogEntry, replication_message::Body};
use millford_core::NodeId;

use crate::Replica;

impl Replica {
    pub(crate) fn on_append_request(&mut self, from: NodeId, request: AppendRequest) {
        if !self.holds(request.previous_index, request.previous_term) {
            let hint = self.back_off_hint(request.previous_index);
            self.reply_append(from, &request, false, hint);
            return;
        }
        let last_matching = request.previous_index + request.entries.len() as u64;
        let answer = AppendRequest {
            entries: Vec::new(),
            ..request
        };
        if !self.store(request.entries) {
            return;
        }
        // Only up to what this message proves to match: what follows may be of another leader.
        let committed = answer.commit_index.min(last_matching);
        self.commit_index = self.commit_index.max(committed);
        // The reply leaves after the flush has synced the entries.
        self.reply_append(from, &answer, true, last_matching);
    }

    /// Whether the log agrees with the leader's up to an entry. Committed entries agree always.
    fn holds(&self, index: u64, term: u64) -> bool {
        index <= self.commit_index || self.storage.term_at(index) == Some(term)
    }

    /// Stores the entries that are new and drops those that conflict. False if the storage failed.
    fn store(&mut self, entries: Vec<LogEntry>) -> bool {
        let mut new_entries = entries;
        new_entries.retain(|entry| !self.holds(entry.index, entry.term));
        let Some(first) = new_entries.first() else {
            return true;
        };
        let first_index = first.index;
        if first_index <= self.storage.last_index() {
            if let Err(error) = self.storage.truncate_from(first_index) {
                self.fail(error);
                return false;
            }
            self.configurations.truncate_from(first_index);
        }
        for entry in &new_entries {
            self.configurations.note(entry);
        }
        self.storage.append(new_entries);
        true
    }

    /// Where the leader should try next: before the whole term that conflicts, but not before what
    /// is committed.
    fn back_off_hint(&self, previous_index: u64) -> u64 {
        let last_index = self.storage.last_index();
        if previous_index > last_index {
            return last_index;
        }
        let conflicting = self.storage.term_at(previous_index);
        let mut hint = previous_index - 1;
        while hint > self.commit_index && self.storage.term_at(hint) == conflicting {
            hint -= 1;
        }
        hint
    }

    fn reply_append(&mut self, to: NodeId, request: &AppendRequest, accepted: bool, index: u64) {
        let reply = AppendReply {
            accepted,
            match_index: index,
            read_sequence: request.read_sequence,
            previous_index: request.previous_index,
        };
        self.send(to, Body::AppendReply(reply));
    }

    /// Tells a leader of an older term the present one.
    pub(crate) fn refuse_old_leader(&mut self, from: NodeId) {
        self.send(from, Body::AppendReply(AppendReply::default()));
    }
}
