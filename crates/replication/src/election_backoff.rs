//! Backoff of the election timeout after contested elections without a winner.

use millford_core::Duration;

/// Highest number of doublings of the election timeout: 2 to 4 s with the default timing.
const MAX_DOUBLINGS: u32 = 2;

/// Divisor of the election timeout of a replica that has not followed a leader since it was opened.
///
/// When the whole group restarts after a power failure there is no leader, and the group is
/// unavailable for as long as its replicas wait. A replica that restarts alone does not disrupt the
/// group: voters in contact with a leader do not grant its pre-vote.
const INITIAL_TIMEOUT_DIVISOR: u32 = 8;

/// Exponential backoff of the election timeout.
///
/// When messages or syncs take longer than the timeout, each election is abandoned before its
/// replies arrive, and they do not count in the next one. A longer timeout lets one election
/// finish. Only contested elections count: a replica whose peers do not respond keeps the short
/// timeout, so that it campaigns soon after they are reachable again.
#[derive(Debug, Default)]
pub(crate) struct ElectionBackoff {
    /// Consecutive contested elections without a leader.
    failed_elections: u32,
    /// Whether a message of another replica about the current election was received.
    contested: bool,
    /// Whether there was a leader since the replica was opened.
    has_known_leader: bool,
}

impl ElectionBackoff {
    /// Marks the current election as contested by another replica.
    pub(crate) fn record_contested(&mut self) {
        self.contested = true;
    }

    /// Ends the current election without a leader: counts it if it was contested, else resets the
    /// count.
    pub(crate) fn record_failed_election(&mut self) {
        let contested = std::mem::take(&mut self.contested);
        self.failed_elections = if contested {
            self.failed_elections + 1
        } else {
            0
        };
    }

    /// Resets the backoff when a leader makes progress.
    pub(crate) fn record_leader(&mut self) {
        *self = Self {
            has_known_leader: true,
            ..Self::default()
        };
    }

    /// Returns `timeout`, doubled for each failed election up to [`MAX_DOUBLINGS`], or shortened
    /// before the first leader.
    pub(crate) fn adjust_timeout(&self, timeout: Duration) -> Duration {
        if !self.has_known_leader && self.failed_elections == 0 {
            return timeout / INITIAL_TIMEOUT_DIVISOR;
        }
        timeout * (1 << self.failed_elections.min(MAX_DOUBLINGS))
    }
}
