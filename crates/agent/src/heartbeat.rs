//! Schedule of the heartbeats, and selection of the replies that report on the open session.

use millford_core::MonotonicTime;

use crate::timing::HEARTBEAT_PERIOD;

/// Schedule and sequence numbers of the heartbeats sent to the control node.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatSchedule {
    due_at: MonotonicTime,
    /// Sequence number of the last heartbeat sent; 0 before the first.
    last_sequence: u64,
    /// Sequence number of the first heartbeat that carried the epoch of the open session; replies
    /// to earlier heartbeats do not report on it.
    session_sequence: u64,
}

impl HeartbeatSchedule {
    /// Creates a schedule whose first heartbeat is due immediately.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            due_at: now,
            last_sequence: 0,
            session_sequence: 0,
        }
    }

    /// Makes the next heartbeat due immediately.
    pub fn expedite(&mut self, now: MonotonicTime) {
        self.due_at = now;
    }

    /// Returns the sequence number of the heartbeat to send now, if one is due, and schedules the
    /// next.
    pub fn next_due(&mut self, now: MonotonicTime) -> Option<u64> {
        if now < self.due_at {
            return None;
        }
        self.due_at = now + HEARTBEAT_PERIOD;
        self.last_sequence += 1;
        Some(self.last_sequence)
    }

    /// Records that a session was opened, whose epoch the next heartbeat is the first to carry.
    pub fn session_opened(&mut self) {
        self.session_sequence = self.last_sequence + 1;
    }

    /// Returns whether the heartbeat with this sequence number carried the epoch of the open
    /// session.
    #[must_use]
    pub fn named_session(&self, sequence: u64) -> bool {
        sequence >= self.session_sequence
    }
}
