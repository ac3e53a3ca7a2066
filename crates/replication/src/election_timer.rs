//! The randomised election timeout (Raft thesis, sections 3.4 and 9.3).

use millford_core::{Duration, MonotonicTime};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::Timing;
use crate::election_backoff::ElectionBackoff;

/// When a replica that has no contact with a leader begins an election.
pub(crate) struct ElectionTimer {
    random: StdRng,
    deadline: MonotonicTime,
    /// Backoff by which each timeout is extended.
    pub(crate) backoff: ElectionBackoff,
}

impl ElectionTimer {
    /// A timer that has not been set yet. `seed` determines every timeout that it will draw.
    pub(crate) fn new(seed: u64, now: MonotonicTime) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            deadline: now,
            backoff: ElectionBackoff::default(),
        }
    }

    /// Draws a new timeout that begins at `now`.
    pub(crate) fn reset(&mut self, now: MonotonicTime, timing: &Timing) {
        let shortest = timing.election_timeout_min;
        let longest = timing.election_timeout_max;
        let timeout = self.random.random_range(shortest..=longest);
        self.deadline = now + self.backoff.extend(timeout);
    }

    /// Moves the deadline back by the time that the process was stalled.
    ///
    /// Never to more than a complete timeout from now: a leader that was stalled steps down on the
    /// first message that it takes, and a timer that is set then is not part of the stall.
    pub(crate) fn defer(&mut self, now: MonotonicTime, stalled_time: Duration, timing: &Timing) {
        let longest = self.backoff.extend(timing.election_timeout_max);
        self.deadline = (self.deadline + stalled_time).min(now + longest);
    }

    /// Whether the timeout has passed.
    pub(crate) fn is_expired(&self, now: MonotonicTime) -> bool {
        now >= self.deadline
    }
}
