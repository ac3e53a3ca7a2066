//! Replication progress of one peer, as the leader tracks it.

use std::collections::VecDeque;

use millford_core::MonotonicTime;
use millford_storage::Snapshot;

/// Mode in which entries are sent to a peer.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// The match index is unknown: one message at a time.
    Probe {
        /// Whether a message was sent and not answered yet.
        awaiting_reply: bool,
    },
    /// The match index is known: several messages in flight.
    Replicate,
    /// The peer needs entries that the log no longer holds, and receives a snapshot.
    Snapshot(SnapshotTransfer),
}

/// A snapshot that is being sent to a peer, one chunk at a time.
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    /// Offset of the chunk to send or in flight, in bytes.
    pub(crate) offset: u64,
    /// Time at which the chunk was last sent; `None` if it has not been sent yet.
    pub(crate) sent_at: Option<MonotonicTime>,
}

/// Replication progress of one peer in the leader's term.
pub(crate) struct Progress {
    pub(crate) state: ProgressState,
    /// Highest index up to which the peer's durable log is known to match; 0 while unknown.
    match_index: u64,
    /// Index of the next entry to send.
    next_index: u64,
    /// Last index of each message with entries that is in flight.
    in_flight: VecDeque<u64>,
    /// Commit index of the last message sent.
    sent_commit_index: u64,
    /// Highest read sequence that the peer has answered.
    read_sequence: u64,
    /// Time at which the last message of the current term was received from the peer.
    last_contact: MonotonicTime,
}

impl Progress {
    /// Returns the progress of a peer whose match index is unknown, to be probed at `next_index`.
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

    /// Highest index up to which the peer's durable log is known to match; 0 while unknown.
    pub(crate) fn match_index(&self) -> u64 {
        self.match_index
    }

    /// Index of the next entry to send.
    pub(crate) fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Number of messages with entries in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Last index of each message with entries that is in flight, oldest first.
    pub(crate) fn in_flight_last_indices(&self) -> &VecDeque<u64> {
        &self.in_flight
    }

    /// Commit index of the last message sent.
    pub(crate) fn sent_commit_index(&self) -> u64 {
        self.sent_commit_index
    }

    /// Highest read sequence that the peer has answered.
    pub(crate) fn read_sequence(&self) -> u64 {
        self.read_sequence
    }

    /// Time at which the last message of the current term was received from the peer. Before the
    /// first one, the time at which the leader began to track the peer.
    pub(crate) fn last_contact(&self) -> MonotonicTime {
        self.last_contact
    }

    /// Whether a snapshot is being sent to the peer.
    pub(crate) fn receives_snapshot(&self) -> bool {
        matches!(self.state, ProgressState::Snapshot(_))
    }

    /// Records the receipt of a message of the current term.
    pub(crate) fn record_contact(&mut self, now: MonotonicTime) {
        self.last_contact = now;
    }

    /// Records a reply to a message that carried the read sequence `sequence`.
    pub(crate) fn record_read_sequence(&mut self, sequence: u64) {
        self.read_sequence = self.read_sequence.max(sequence);
    }

    /// Records the commit index of a message that is being sent.
    pub(crate) fn record_sent_commit(&mut self, commit_index: u64) {
        self.sent_commit_index = commit_index;
    }

    /// Records a message with entries up to `last_index` as in flight.
    pub(crate) fn record_sent_entries(&mut self, last_index: u64) {
        self.in_flight.push_back(last_index);
        self.next_index = last_index + 1;
    }

    /// Records that the peer's durable log matches up to `index`, which acknowledges the messages
    /// in flight up to there.
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

    /// Switches to probing at `next_index`, but not before the entry after the match index.
    pub(crate) fn become_probe(&mut self, next_index: u64) {
        self.state = ProgressState::Probe {
            awaiting_reply: false,
        };
        self.next_index = next_index.max(self.match_index + 1);
        self.in_flight.clear();
    }

    /// Switches to sending entries without waiting for each reply.
    pub(crate) fn become_replicate(&mut self) {
        self.state = ProgressState::Replicate;
        self.next_index = self.match_index + 1;
        self.in_flight.clear();
    }

    /// Switches to sending a snapshot, from its first byte.
    pub(crate) fn become_snapshot(&mut self, snapshot: Snapshot) {
        self.in_flight.clear();
        self.state = ProgressState::Snapshot(SnapshotTransfer {
            snapshot,
            offset: 0,
            sent_at: None,
        });
    }
}
