//! How much longer a replica waits after elections that others took part in and nobody won.

use millford_core::Duration;

/// Most doublings of the election time-outs: 2 to 4 s with the usual times.
const MOST_DOUBLINGS: u32 = 2;

/// Rounds that failed although others were there.
///
/// When messages or syncs are slower than the time-outs, each round is given up before its answers
/// arrive, and the next one makes them worthless. Longer time-outs let one round end. A replica
/// whose peers are silent does not wait longer: it must be quick once they are back.
#[derive(Debug, Default)]
pub(crate) struct Patience {
    failed_rounds: u32,
    contested: bool,
}

impl Patience {
    /// Another replica took part in the election.
    pub(crate) fn note_other(&mut self) {
        self.contested = true;
    }

    /// The round ended without a leader.
    pub(crate) fn round_failed(&mut self) {
        let contested = std::mem::take(&mut self.contested);
        self.failed_rounds = if contested { self.failed_rounds + 1 } else { 0 };
    }

    /// There is a leader that works.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// A time-out with the patience that was learned.
    pub(crate) fn stretch(&self, timeout: Duration) -> Duration {
        timeout * (1 << self.failed_rounds.min(MOST_DOUBLINGS))
    }
}
