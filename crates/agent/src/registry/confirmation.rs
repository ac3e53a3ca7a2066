//! Since when the control plane confirms every shard to the agent, or does not.

use millford_core::{Duration, MonotonicTime};

/// Whether the agent is connected and every shard is confirmed on its connection, and since when.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    is_complete: bool,
    since: MonotonicTime,
}

impl Confirmation {
    /// Nothing is confirmed yet.
    #[must_use]
    pub fn unconfirmed(now: MonotonicTime) -> Self {
        Self {
            is_complete: false,
            since: now,
        }
    }

    /// Takes whether every shard is confirmed now.
    pub fn record(&mut self, now: MonotonicTime, is_complete: bool) {
        if self.is_complete != is_complete {
            *self = Self {
                is_complete,
                since: now,
            };
        }
    }

    /// How long some shard has been unconfirmed; none when every shard is confirmed.
    #[must_use]
    pub fn unconfirmed_for(&self, now: MonotonicTime) -> Option<Duration> {
        (!self.is_complete).then(|| now.since(self.since))
    }

    /// How long every shard has been confirmed; none when one is not.
    #[must_use]
    pub fn confirmed_for(&self, now: MonotonicTime) -> Option<Duration> {
        self.is_complete.then(|| now.since(self.since))
    }
}
