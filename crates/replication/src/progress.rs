//! What a leader knows of one other replica.

use std::collections::VecDeque;

use millford_core::MonotonicTime;
use millford_storage::Snapshot;

/// How entries are sent to a replica.
#[derive(Debug)]
pub enum SendState {
    /// The match is unknown: one message at a time.
    Probe {
        /// Whether a message is under way.
        waiting: bool,
    },
    /// The match is known: several messages under way.
    Replicate,
    /// The log no longer holds what the replica needs.
    Snapshot(SnapshotTransfer),
}

/// A snapshot on its way to a replica, one chunk at a time.
pub struct SnapshotTransfer {
    pub snapshot: Snapshot,
    /// Start of the chunk to send or under way.
    pub position: u64,
    /// When the chunk was sent last.
    pub sent_at: Option<MonotonicTime>,
}

/// Progress of one replica.
pub struct Progress {
    pub state: SendState,
    /// Last index known to be durable there.
    pub match_index: u64,
    /// Next index to send.
    pub next_index: u64,
    /// Last index of each message with entries that is under way.
    pub(crate) in_flight: VecDeque<u64>,
    /// Highest commit index sent.
    pub sent_commit: u64,
    /// Highest read round answered.
    pub read_sequence: u64,
    /// When the last message of the present term came.
    pub last_heard: MonotonicTime,
}

impl Progress {
    /// Progress of a replica of which nothing is known yet.
    pub fn new(next_index: u64, now: MonotonicTime) -> Self {
        Self {
            state: SendState::Probe { waiting: false },
            match_index: 0,
            next_index,
            in_flight: VecDeque::new(),
            sent_commit: 0,
            read_sequence: 0,
            last_heard: now,
        }
    }

    /// Messages with entries under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Notes a message with entries up to `last_index`.
    pub fn sent_entries(&mut self, last_index: u64) {
        self.in_flight.push_back(last_index);
        self.next_index = last_index + 1;
    }

    /// The replica holds everything up to `index`.
    pub fn accepted(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        let matched = self.match_index;
        while self
            .in_flight
            .pop_front_if(|last| *last <= matched)
            .is_some()
        {}
    }

    /// Goes back to probing at `next_index`.
    pub fn probe(&mut self, next_index: u64) {
        self.state = SendState::Probe { waiting: false };
        self.next_index = next_index.max(self.match_index + 1);
        self.in_flight.clear();
    }

    /// Begins to send without waiting for each answer.
    pub fn replicate(&mut self) {
        self.state = SendState::Replicate;
        self.next_index = self.match_index + 1;
        self.in_flight.clear();
    }

    /// Begins to send a snapshot.
    pub fn send_snapshot(&mut self, snapshot: Snapshot) {
        self.in_flight.clear();
        self.state = SendState::Snapshot(SnapshotTransfer {
            snapshot,
            position: 0,
            sent_at: None,
        });
    }
}
