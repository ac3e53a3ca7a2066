//! When heartbeats are sent, and what their answers say about the session.

use millford_core::MonotonicTime;

use crate::timing::HEARTBEAT_PERIOD;

/// Schedule and sequence numbers of the heartbeats to the control node.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatSchedule {
    due_at: MonotonicTime,
    /// Sequence number of the last heartbeat sent; 0 before the first.
    last_sequence: u64,
    /// First heartbeat that named the open session: answers to earlier ones say nothing about it.
    session_sequence: u64,
}

impl HeartbeatSchedule {
    /// A schedule whose first heartbeat is due at once.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            due_at: now,
            last_sequence: 0,
            session_sequence: 0,
        }
    }

    /// Makes the next heartbeat due at once.
    pub fn expedite(&mut self, now: MonotonicTime) {
        self.due_at = now;
    }

    /// Sequence number of the heartbeat to send now, if one is due.
    pub fn next_due(&mut self, now: MonotonicTime) -> Option<u64> {
        if now < self.due_at {
            return None;
        }
        self.due_at = now + HEARTBEAT_PERIOD;
        self.last_sequence += 1;
        Some(self.last_sequence)
    }

    /// A session was opened: heartbeats from the next one on name it.
    pub fn session_opened(&mut self) {
        self.session_sequence = self.last_sequence + 1;
    }

    /// Whether the heartbeat with this sequence number named the open session.
    #[must_use]
    pub fn named_session(&self, sequence: u64) -> bool {
        sequence >= self.session_sequence
    }
}
