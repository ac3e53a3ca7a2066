//! How much longer a replica waits after elections that others took part in and nobody won.

use millford_core::Duration;

/// Most doublings of the election timeouts: 2 to 4 s with the default timing.
const MAX_DOUBLINGS: u32 = 2;

/// Divides the timeout of a replica that has known no leader since it was opened.
///
/// After a loss of power nobody leads, and a replica that waits for the full timeout keeps the whole
/// group unavailable. A replica that restarts alone disrupts nobody: the voters that have contact
/// with a leader reject its pre-vote.
const INITIAL_TIMEOUT_DIVISOR: u32 = 8;

/// Exponential backoff of the election timeouts.
///
/// When messages or syncs are slower than the timeouts, each election is abandoned before its
/// replies arrive, and the next one makes them worthless. Longer timeouts let one election finish.
/// Only contested elections count: a replica whose peers do not respond keeps the short timeouts,
/// because it must be quick once they are back.
#[derive(Debug, Default)]
pub(crate) struct ElectionBackoff {
    /// Contested elections in a row that ended without a leader.
    failed_elections: u32,
    /// Another replica took part in the current election.
    contested: bool,
    /// A leader was known since the replica was opened.
    has_known_leader: bool,
}

impl ElectionBackoff {
    /// Another replica took part in the election.
    pub(crate) fn record_contested(&mut self) {
        self.contested = true;
    }

    /// The election ended without a leader.
    pub(crate) fn record_failed_election(&mut self) {
        let contested = std::mem::take(&mut self.contested);
        self.failed_elections = if contested {
            self.failed_elections + 1
        } else {
            0
        };
    }

    /// There is a working leader: the backoff starts over.
    pub(crate) fn record_leader(&mut self) {
        *self = Self {
            has_known_leader: true,
            ..Self::default()
        };
    }

    /// `timeout`, extended by the backoff that was built up (or shortened before the first leader).
    pub(crate) fn extend(&self, timeout: Duration) -> Duration {
        if !self.has_known_leader && self.failed_elections == 0 {
            return timeout / INITIAL_TIMEOUT_DIVISOR;
        }
        timeout * (1 << self.failed_elections.min(MAX_DOUBLINGS))
    }
}
