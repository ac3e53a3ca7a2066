//! Append requests as a follower handles them (Raft thesis, section 3.5).

use millford_api::replication::{AppendReply, AppendRequest, LogEntry, replication_message::Body};
use millford_core::NodeId;

use crate::Replica;

/// Outcome of an append request.
#[derive(Clone, Copy, Debug)]
enum AppendOutcome {
    /// The log matches the leader's up to this index.
    Accepted { match_index: u64 },
    /// The log does not match at the previous index; the leader should retry with the entry after
    /// `conflict_hint`.
    Rejected { conflict_hint: u64 },
}

impl Replica {
    pub(crate) fn on_append_request(&mut self, from: NodeId, request: AppendRequest) {
        if !self.log_matches(request.previous_index, request.previous_term) {
            let conflict_hint = self.conflict_hint(request.previous_index);
            let outcome = AppendOutcome::Rejected { conflict_hint };
            self.reply_append(from, &request, outcome);
            return;
        }
        let match_index = request.previous_index + request.entries.len() as u64;
        let header = AppendRequest {
            entries: Vec::new(),
            ..request
        };
        if !self.store_entries(request.entries) {
            return;
        }
        // Only up to the last index that this message proves to match: later entries of the log may
        // come from another leader.
        let committed = header.commit_index.min(match_index);
        self.commit_index = self.commit_index.max(committed);
        // The flush syncs the entries before it returns the reply.
        self.reply_append(from, &header, AppendOutcome::Accepted { match_index });
    }

    /// Whether the entry at `index` has the term `term` or is committed. If so, the log matches the
    /// leader's up to it.
    fn log_matches(&self, index: u64, term: u64) -> bool {
        index <= self.commit_index || self.storage.term_at(index) == Some(term)
    }

    /// Appends the new entries and truncates conflicting ones. Returns false if the storage failed.
    fn store_entries(&mut self, entries: Vec<LogEntry>) -> bool {
        let mut new_entries = entries;
        new_entries.retain(|entry| !self.log_matches(entry.index, entry.term));
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
            self.configurations.record(entry);
        }
        self.storage.append(new_entries);
        true
    }

    /// Index after which the leader should retry: the last one if the log ends before
    /// `previous_index`, else the one before the entries of the conflicting term, but at least the
    /// commit index.
    fn conflict_hint(&self, previous_index: u64) -> u64 {
        let last_index = self.storage.last_index();
        if previous_index > last_index {
            return last_index;
        }
        let conflicting_term = self.storage.term_at(previous_index);
        let mut hint = previous_index - 1;
        while hint > self.commit_index && self.storage.term_at(hint) == conflicting_term {
            hint -= 1;
        }
        hint
    }

    fn reply_append(&mut self, to: NodeId, request: &AppendRequest, outcome: AppendOutcome) {
        let (accepted, match_index) = match outcome {
            AppendOutcome::Accepted { match_index } => (true, match_index),
            AppendOutcome::Rejected { conflict_hint } => (false, conflict_hint),
        };
        let reply = AppendReply {
            accepted,
            match_index,
            read_sequence: request.read_sequence,
            previous_index: request.previous_index,
        };
        self.send(to, Body::AppendReply(reply));
    }

    /// Sends the current term to the leader of an older one, so that it steps down.
    pub(crate) fn reject_stale_leader(&mut self, from: NodeId) {
        self.send(from, Body::AppendReply(AppendReply::default()));
    }
}
