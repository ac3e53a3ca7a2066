//! Debug output of a replica: everything that its decisions rest on except times and random
//! numbers, so that replicas in the same situation print the same.

use std::fmt::{Debug, Formatter, Result};

use crate::Replica;
use crate::leader_state::{LeaderState, Transfer};
use crate::progress::{Progress, SnapshotTransfer};

impl Debug for Replica {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let storage = &self.storage;
        let log = storage.entries(storage.first_index(), storage.last_index(), usize::MAX);
        formatter
            .debug_struct("Replica")
            .field("node", &self.options.node)
            .field("term", &self.term)
            .field("voted_for", &self.voted_for)
            .field("role", &self.role)
            .field("leader", &self.leader)
            .field("hears_leader", &self.hears_leader(self.now))
            .field("commit_index", &self.commit_index)
            .field("delivered_index", &self.delivered_index)
            .field("removed", &self.removed)
            .field("incoming", &self.incoming)
            .field("configurations", &self.configurations)
            .field("synced_index", &storage.synced_index())
            .field("log", &log)
            .finish_non_exhaustive()
    }
}

impl Debug for LeaderState {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter
            .debug_struct("LeaderState")
            .field("peers", &self.peers)
            .field("term_start", &self.term_start)
            .field("message_due", &self.message_due)
            .field("new_reads", &self.new_reads)
            .field("rounds", &self.rounds)
            .field("last_round", &self.last_round)
            .field("transfer", &self.transfer)
            .finish_non_exhaustive()
    }
}

impl Debug for Transfer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter
            .debug_struct("Transfer")
            .field("to", &self.to)
            .field("asked", &self.asked)
            .finish_non_exhaustive()
    }
}

impl Debug for Progress {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter
            .debug_struct("Progress")
            .field("state", &self.state)
            .field("match_index", &self.match_index)
            .field("next_index", &self.next_index)
            .field("in_flight", &self.in_flight)
            .field("sent_commit", &self.sent_commit)
            .field("read_round", &self.read_sequence)
            .finish_non_exhaustive()
    }
}

impl Debug for SnapshotTransfer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter
            .debug_struct("SnapshotTransfer")
            .field("index", &self.snapshot.meta.index)
            .field("position", &self.position)
            .finish_non_exhaustive()
    }
}
