//! Entries that come from the leader (Raft thesis, section 3.5).

use millford_api::replication::{AppendReply, AppendRequest, LogEntry, replication_message::Body};
use millford_core::NodeId;

use crate::Replica;

/// Outcome of a leader's message for the follower's log.
#[derive(Clone, Copy, Debug)]
enum AppendOutcome {
    /// The log agrees with the leader's up to this index.
    Accepted { match_index: u64 },
    /// The log does not agree; the leader should try again behind this index.
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
        // Only up to what this message proves to match: what follows may be of another leader.
        let committed = header.commit_index.min(match_index);
        self.commit_index = self.commit_index.max(committed);
        // The reply leaves after the flush has synced the entries.
        self.reply_append(from, &header, AppendOutcome::Accepted { match_index });
    }

    /// Whether the log agrees with the leader's up to an entry. Committed entries agree always.
    fn log_matches(&self, index: u64, term: u64) -> bool {
        index <= self.commit_index || self.storage.term_at(index) == Some(term)
    }

    /// Stores the entries that are new and drops those that conflict. False if the storage failed.
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

    /// Where the leader should try next: before the whole term that conflicts, but not before what
    /// is committed.
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

    /// Sends a leader of an older term the present one, so that it steps down.
    pub(crate) fn reject_stale_leader(&mut self, from: NodeId) {
        self.send(from, Body::AppendReply(AppendReply::default()));
    }
}
