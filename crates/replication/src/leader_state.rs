//! State that only a leader has.

use std::collections::{BTreeMap, VecDeque};

use millford_core::{MonotonicTime, NodeId};

use crate::configuration::Configuration;
use crate::progress::Progress;

/// Reads that wait for the same round.
#[derive(Debug)]
pub struct ReadBatch {
    pub round: u64,
    /// Commit index when the round began.
    pub index: u64,
    pub requests: Vec<u64>,
}

/// A transfer of the leadership under way.
#[derive(Clone, Copy)]
pub struct Transfer {
    pub to: NodeId,
    /// When proposals are taken again if the transfer has not succeeded.
    pub deadline: MonotonicTime,
    /// Whether the other replica was asked to campaign.
    pub asked: bool,
}

/// State of a leader in one term.
pub struct LeaderState {
    /// Every other replica of the configuration in force.
    pub peers: BTreeMap<NodeId, Progress>,
    /// Index of the first entry of the own term.
    pub term_start_index: u64,
    /// When the next heartbeat is due.
    pub next_heartbeat: MonotonicTime,
    /// Whether every replica gets a message at the next flush.
    pub broadcast_due: bool,
    /// Reads that wait for a round to begin.
    pub queued_reads: Vec<u64>,
    /// Rounds under way, oldest first.
    pub rounds: VecDeque<ReadBatch>,
    /// Number of the last round that began.
    pub last_read_sequence: u64,
    pub transfer: Option<Transfer>,
}

impl LeaderState {
    /// State of a new leader whose first entry is `term_start_index`.
    pub fn new(term_start_index: u64, now: MonotonicTime) -> Self {
        Self {
            peers: BTreeMap::new(),
            term_start_index,
            next_heartbeat: now,
            broadcast_due: true,
            queued_reads: Vec::new(),
            rounds: VecDeque::new(),
            last_read_sequence: 0,
            transfer: None,
        }
    }

    /// Follows a change of the configuration. New replicas are tried at `next_index`.
    pub fn align_peers(
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
