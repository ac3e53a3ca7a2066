//! Since when control confirms every shard to the agent, or does not.

use millford_core::{Duration, MonotonicTime};

/// The agent is in touch and every shard is confirmed on its connection, or not.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    is_whole: bool,
    since: MonotonicTime,
}

impl Confirmation {
    /// Nothing is confirmed yet.
    #[must_use]
    pub fn missing(now: MonotonicTime) -> Self {
        Self {
            is_whole: false,
            since: now,
        }
    }

    /// Takes what holds now.
    pub fn note(&mut self, now: MonotonicTime, is_whole: bool) {
        if self.is_whole != is_whole {
            *self = Self {
                is_whole,
                since: now,
            };
        }
    }

    /// For how long something has not been confirmed.
    #[must_use]
    pub fn missing_for(&self, now: MonotonicTime) -> Option<Duration> {
        (!self.is_whole).then(|| now.since(self.since))
    }

    /// For how long everything has been confirmed.
    #[must_use]
    pub fn lasts_for(&self, now: MonotonicTime) -> Option<Duration> {
        self.is_whole.then(|| now.since(self.since))
    }
}
