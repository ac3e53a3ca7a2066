//! The randomised election timeout (Raft thesis, sections 3.4 and 9.3).

use millford_core::{Duration, MonotonicTime};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::Timing;
use crate::election_backoff::ElectionBackoff;

/// Randomised deadline after which a replica without contact with a leader begins an election.
pub(crate) struct ElectionTimer {
    random: StdRng,
    deadline: MonotonicTime,
    /// Backoff that adjusts each timeout.
    pub(crate) backoff: ElectionBackoff,
}

impl ElectionTimer {
    /// Creates a timer that is already expired until the first [`ElectionTimer::reset`]. `seed`
    /// determines the sequence of random timeouts.
    pub(crate) fn new(seed: u64, now: MonotonicTime) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            deadline: now,
            backoff: ElectionBackoff::default(),
        }
    }

    /// Sets the deadline to a new random timeout from `now` on.
    pub(crate) fn reset(&mut self, now: MonotonicTime, timing: &Timing) {
        let shortest = timing.election_timeout_min;
        let longest = timing.election_timeout_max;
        let timeout = self.random.random_range(shortest..=longest);
        self.deadline = now + self.backoff.adjust_timeout(timeout);
    }

    /// Postpones the deadline by the time that the process was stalled.
    ///
    /// The new deadline is at most the longest timeout from `now`. A stalled leader steps down on
    /// the first message that it processes and resets its timer at that time. That deadline already
    /// lies after the stall and must not be postponed by its whole length.
    pub(crate) fn defer(&mut self, now: MonotonicTime, stalled_time: Duration, timing: &Timing) {
        let longest = self.backoff.adjust_timeout(timing.election_timeout_max);
        self.deadline = (self.deadline + stalled_time).min(now + longest);
    }

    /// Whether `now` has reached the deadline.
    pub(crate) fn is_expired(&self, now: MonotonicTime) -> bool {
        now >= self.deadline
    }
}
