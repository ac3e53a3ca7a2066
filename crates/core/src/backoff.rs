//! Exponential backoff for retries.

use std::time::Duration;

/// Retry delay that doubles with each attempt up to a maximum.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    ceiling: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose first delay is `first` and which doubles up to `ceiling`.
    #[must_use]
    pub fn new(first: Duration, ceiling: Duration) -> Self {
        Self {
            first,
            ceiling,
            next: first,
        }
    }

    /// Returns the delay before the next attempt, and doubles the following one up to the maximum.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.ceiling);
        delay
    }

    /// Resets the delay to the first one. Called after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
