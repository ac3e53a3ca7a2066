//! State that only a leader has.

use std::collections::BTreeMap;

use millford_core::{MonotonicTime, NodeId};

use crate::configuration::Configuration;
use crate::progress::Progress;
use crate::read_queue::ReadQueue;

/// A transfer of the leadership in progress.
#[derive(Clone, Copy)]
pub(crate) struct LeaderTransfer {
    /// The voter that shall lead.
    pub(crate) target: NodeId,
    /// When proposals are accepted again if the transfer has not succeeded.
    pub(crate) deadline: MonotonicTime,
    /// Whether the target was requested to campaign.
    pub(crate) timeout_now_sent: bool,
}

/// State of a leader in one term.
pub(crate) struct LeaderState {
    /// Every other replica of the configuration in force.
    pub(crate) peers: BTreeMap<NodeId, Progress>,
    /// Index of the first entry of the own term.
    pub(crate) term_start_index: u64,
    /// When the next heartbeat is due.
    pub(crate) next_heartbeat: MonotonicTime,
    /// Whether every replica gets a message at the next flush.
    pub(crate) broadcast_due: bool,
    /// Confirmed reads that are queued or in progress.
    pub(crate) reads: ReadQueue,
    /// Set while the leadership is being transferred.
    pub(crate) transfer: Option<LeaderTransfer>,
}

impl LeaderState {
    /// State of a new leader whose first entry is `term_start_index`.
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

    /// Follows a change of the configuration. New replicas are probed at `next_index`.
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
