//! A timer that is due once each period.

use millford_core::{Duration, MonotonicTime};

/// When something that is done regularly is due next.
#[derive(Debug)]
pub(super) struct PeriodicTimer {
    next: MonotonicTime,
    period: Duration,
}

impl PeriodicTimer {
    /// A timer that is due at `first`, and then once each `period`.
    pub(super) fn starting_at(first: MonotonicTime, period: Duration) -> Self {
        Self {
            next: first,
            period,
        }
    }

    /// The next time is a full period from now.
    pub(super) fn restart(&mut self, now: MonotonicTime) {
        self.next = now + self.period;
    }

    /// Whether the time has come; if so, the next one is a period from now.
    pub(super) fn take_due(&mut self, now: MonotonicTime) -> bool {
        if now < self.next {
            return false;
        }
        self.restart(now);
        true
    }
}
