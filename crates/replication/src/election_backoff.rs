//! How much longer a replica waits after elections that others took part in and nobody won.

use millford_core::Duration;

/// Most doublings of the election time-outs: 2 to 4 s with the usual times.
const MAX_DOUBLINGS: u32 = 2;

/// The time-out of a replica that has not heard of any leader since it was opened is divided by this.
///
/// After a loss of power nobody leads, and whoever waits for the usual time keeps the whole group
/// without service. A replica that comes back alone disturbs nobody: its pre-vote is refused by those
/// who hear a leader.
const INITIAL_TIMEOUT_DIVISOR: u32 = 8;

/// Rounds that failed although others were there.
///
/// When messages or syncs are slower than the time-outs, each round is given up before its answers
/// arrive, and the next one makes them worthless. Longer time-outs let one round end. A replica
/// whose peers are silent does not wait longer: it must be quick once they are back.
#[derive(Debug, Default)]
pub(crate) struct ElectionBackoff {
    failed_elections: u32,
    contested: bool,
    /// A leader was known since the replica was opened.
    has_known_leader: bool,
}

impl ElectionBackoff {
    /// Another replica took part in the election.
    pub(crate) fn record_contested(&mut self) {
        self.contested = true;
    }

    /// The round ended without a leader.
    pub(crate) fn record_failed_election(&mut self) {
        let contested = std::mem::take(&mut self.contested);
        self.failed_elections = if contested { self.failed_elections + 1 } else { 0 };
    }

    /// There is a leader that works.
    pub(crate) fn clear(&mut self) {
        *self = Self {
            has_known_leader: true,
            ..Self::default()
        };
    }

    /// A time-out with the patience that was learned.
    pub(crate) fn extend(&self, timeout: Duration) -> Duration {
        if !self.has_known_leader && self.failed_elections == 0 {
            return timeout / INITIAL_TIMEOUT_DIVISOR;
        }
        timeout * (1 << self.failed_elections.min(MAX_DOUBLINGS))
    }
}
