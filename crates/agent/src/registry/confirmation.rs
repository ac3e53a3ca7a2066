//! Time for which every shard has been confirmed, or at least one has been unconfirmed.

use millford_core::{Duration, MonotonicTime};

/// Whether the agent is connected with quorum contact and every shard is confirmed on its
/// connection, with the time of the last change.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    is_complete: bool,
    since: MonotonicTime,
}

impl Confirmation {
    /// Creates the initial state, in which no shard is confirmed.
    #[must_use]
    pub fn unconfirmed(now: MonotonicTime) -> Self {
        Self {
            is_complete: false,
            since: now,
        }
    }

    /// Records whether every shard is confirmed now.
    pub fn record(&mut self, now: MonotonicTime, is_complete: bool) {
        if self.is_complete != is_complete {
            *self = Self {
                is_complete,
                since: now,
            };
        }
    }

    /// Returns how long at least one shard has been unconfirmed; `None` if every shard is
    /// confirmed.
    #[must_use]
    pub fn unconfirmed_for(&self, now: MonotonicTime) -> Option<Duration> {
        (!self.is_complete).then(|| now.since(self.since))
    }

    /// Returns how long every shard has been confirmed; `None` if a shard is unconfirmed.
    #[must_use]
    pub fn confirmed_for(&self, now: MonotonicTime) -> Option<Duration> {
        self.is_complete.then(|| now.since(self.since))
    }
}
