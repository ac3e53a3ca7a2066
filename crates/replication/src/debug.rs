//! Debug output of a replica. It contains all state that decisions depend on, except times and
//! random numbers, so that replicas in equivalent states print the same text.

use std::fmt::{Debug, Formatter, Result};

use crate::Replica;
use crate::leader_state::{LeaderState, LeaderTransfer};
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
            .field("has_leader_contact", &self.has_leader_contact(self.now))
            .field("commit_index", &self.commit_index)
            .field("delivered_index", &self.delivered_index)
            .field("removed", &self.removed)
            .field("incoming_snapshot", &self.incoming_snapshot)
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
            .field("term_start_index", &self.term_start_index)
            .field("broadcast_due", &self.broadcast_due)
            .field("reads", &self.reads)
            .field("transfer", &self.transfer)
            .finish_non_exhaustive()
    }
}

impl Debug for LeaderTransfer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter
            .debug_struct("LeaderTransfer")
            .field("target", &self.target)
            .field("timeout_now_sent", &self.timeout_now_sent)
            .finish_non_exhaustive()
    }
}

impl Debug for Progress {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter
            .debug_struct("Progress")
            .field("state", &self.state)
            .field("match_index", &self.match_index())
            .field("next_index", &self.next_index())
            .field("in_flight", &self.in_flight_last_indices())
            .field("sent_commit_index", &self.sent_commit_index())
            .field("read_sequence", &self.read_sequence())
            .finish_non_exhaustive()
    }
}

impl Debug for SnapshotTransfer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter
            .debug_struct("SnapshotTransfer")
            .field("index", &self.snapshot.meta.index)
            .field("offset", &self.offset)
            .finish_non_exhaustive()
    }
}
