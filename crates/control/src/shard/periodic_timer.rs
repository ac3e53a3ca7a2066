//! A timer that is due once per period.

use millford_core::{Duration, MonotonicTime};

/// The next due time of a periodic task, and its period.
#[derive(Debug)]
pub(super) struct PeriodicTimer {
    next: MonotonicTime,
    period: Duration,
}

impl PeriodicTimer {
    /// Creates a timer that is due at `first`, and then once per `period`.
    pub(super) fn starting_at(first: MonotonicTime, period: Duration) -> Self {
        Self {
            next: first,
            period,
        }
    }

    /// Sets the next due time to one period from now.
    pub(super) fn restart(&mut self, now: MonotonicTime) {
        self.next = now + self.period;
    }

    /// Whether the timer is due; if so, restarts it.
    pub(super) fn take_due(&mut self, now: MonotonicTime) -> bool {
        if now < self.next {
            return false;
        }
        self.restart(now);
        true
    }
}
