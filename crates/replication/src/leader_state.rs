//! State specific to the leader role.

use std::collections::BTreeMap;

use millford_core::{MonotonicTime, NodeId};

use crate::configuration::Configuration;
use crate::progress::Progress;
use crate::read_queue::ReadQueue;

/// A transfer of the leadership in progress.
#[derive(Clone, Copy)]
pub(crate) struct LeaderTransfer {
    /// The voter that should become leader.
    pub(crate) target: NodeId,
    /// Time at which the transfer is abandoned and proposals are accepted again.
    pub(crate) deadline: MonotonicTime,
    /// Whether the request to campaign was sent to the target.
    pub(crate) timeout_now_sent: bool,
}

/// State of a leader in one term.
pub(crate) struct LeaderState {
    /// Progress of every other replica of the configuration in force, learners included.
    pub(crate) peers: BTreeMap<NodeId, Progress>,
    /// Index of the first entry of the leader's own term.
    pub(crate) term_start_index: u64,
    /// Time at which the next heartbeat is due.
    pub(crate) next_heartbeat: MonotonicTime,
    /// Whether the next flush sends a message to every peer.
    pub(crate) broadcast_due: bool,
    /// Confirmed reads that are queued or in progress.
    pub(crate) reads: ReadQueue,
    /// Transfer in progress; `None` otherwise.
    pub(crate) transfer: Option<LeaderTransfer>,
}

impl LeaderState {
    /// Creates the state of a new leader whose first entry has index `term_start_index`.
    pub(crate) fn new(term_start_index: u64, now: MonotonicTime) -> Self {
        Self {
            peers: BTreeMap::new(),
            term_start_index,
            next_heartbeat: now,
            broadcast_due: true,
            reads: ReadQueue::default(),
            transfer: None,
        }
    }

    /// Removes peers that are not in `configuration` and adds the missing ones, which are probed at
    /// `next_index`.
    pub(crate) fn align_peers(
        &mut self,
        configuration: &Configuration,
        own: NodeId,
        next_index: u64,
        now: MonotonicTime,
    ) {
        self.peers.retain(|node, _| configuration.contains(*node));
        for node in configuration.others(own) {
            self.peers
                .entry(node)
                .or_insert_with(|| Progress::new(next_index, now));
        }
    }
}
