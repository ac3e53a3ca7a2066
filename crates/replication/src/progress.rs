//! What a leader knows of one other replica.

use std::collections::VecDeque;

use millford_core::MonotonicTime;
use millford_storage::Snapshot;

/// How entries are sent to a replica.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// The matching index is unknown: one message at a time.
    Probe {
        /// Whether the reply to a message is outstanding.
        awaiting_reply: bool,
    },
    /// The matching index is known: several messages in flight.
    Replicate,
    /// The log no longer holds what the replica needs.
    Snapshot(SnapshotTransfer),
}

/// A snapshot that is being sent to a replica, one chunk at a time.
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    /// Offset of the chunk to send or in flight, in bytes.
    pub(crate) offset: u64,
    /// When the chunk was sent last; `None` when it is to be sent at once.
    pub(crate) sent_at: Option<MonotonicTime>,
}

/// Progress of one replica.
pub(crate) struct Progress {
    pub(crate) state: ProgressState,
    /// Last index known to be durable there.
    match_index: u64,
    /// Next index to send.
    next_index: u64,
    /// Last index of each message with entries that is in flight.
    in_flight: VecDeque<u64>,
    /// Highest commit index sent.
    sent_commit_index: u64,
    /// Highest read sequence answered.
    read_sequence: u64,
    /// When the last message of the present term came.
    last_contact: MonotonicTime,
}

impl Progress {
    /// Progress of a replica of which nothing is known yet.
    pub(crate) fn new(next_index: u64, now: MonotonicTime) -> Self {
        Self {
            state: ProgressState::Probe {
                awaiting_reply: false,
            },
            match_index: 0,
            next_index,
            in_flight: VecDeque::new(),
            sent_commit_index: 0,
            read_sequence: 0,
            last_contact: now,
        }
    }

    /// Last index known to be durable there.
    pub(crate) fn match_index(&self) -> u64 {
        self.match_index
    }

    /// Next index to send.
    pub(crate) fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Messages with entries in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Last index of each message with entries that is in flight, oldest first.
    pub(crate) fn in_flight_last_indices(&self) -> &VecDeque<u64> {
        &self.in_flight
    }

    /// Highest commit index sent.
    pub(crate) fn sent_commit_index(&self) -> u64 {
        self.sent_commit_index
    }

    /// Highest read sequence answered.
    pub(crate) fn read_sequence(&self) -> u64 {
        self.read_sequence
    }

    /// When the last message of the present term came; the start of the term before the first one.
    pub(crate) fn last_contact(&self) -> MonotonicTime {
        self.last_contact
    }

    /// Whether the replica receives a snapshot.
    pub(crate) fn receives_snapshot(&self) -> bool {
        matches!(self.state, ProgressState::Snapshot(_))
    }

    /// A message of the present term came.
    pub(crate) fn record_contact(&mut self, now: MonotonicTime) {
        self.last_contact = now;
    }

    /// The replica answered a message that carried `sequence`.
    pub(crate) fn record_read_sequence(&mut self, sequence: u64) {
        self.read_sequence = self.read_sequence.max(sequence);
    }

    /// A message with this commit index leaves.
    pub(crate) fn record_sent_commit(&mut self, commit_index: u64) {
        self.sent_commit_index = commit_index;
    }

    /// A message with entries up to `last_index` leaves.
    pub(crate) fn record_sent_entries(&mut self, last_index: u64) {
        self.in_flight.push_back(last_index);
        self.next_index = last_index + 1;
    }

    /// The replica holds everything up to `index` durably.
    pub(crate) fn record_match(&mut self, index: u64) {
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
    pub(crate) fn become_probe(&mut self, next_index: u64) {
        self.state = ProgressState::Probe {
            awaiting_reply: false,
        };
        self.next_index = next_index.max(self.match_index + 1);
        self.in_flight.clear();
    }

    /// Begins to send without waiting for each reply.
    pub(crate) fn become_replicate(&mut self) {
        self.state = ProgressState::Replicate;
        self.next_index = self.match_index + 1;
        self.in_flight.clear();
    }

    /// Begins to send a snapshot.
    pub(crate) fn become_snapshot(&mut self, snapshot: Snapshot) {
        self.in_flight.clear();
        self.state = ProgressState::Snapshot(SnapshotTransfer {
            snapshot,
            offset: 0,
            sent_at: None,
        });
    }
}
