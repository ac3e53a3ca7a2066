//! Delays between attempts at the same thing.

use std::time::Duration;

/// Doubling delay with a ceiling, reset by success.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    ceiling: Duration,
    next: Duration,
}

impl Backoff {
    /// A delay that starts at `first` and doubles up to `ceiling`.
    #[must_use]
    pub fn new(first: Duration, ceiling: Duration) -> Self {
        Self {
            first,
            ceiling,
            next: first,
        }
    }

    /// The delay before the next attempt; the one after is twice as long.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.ceiling);
        delay
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
