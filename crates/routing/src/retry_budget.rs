//! Budget for sends to a second backend.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// What each first send earns, in thousandths of a second send.
pub const EARNED_PER_FIRST_SEND_MILLI: u64 = 150;

/// Most that may be saved up, in thousandths: a burst of at most this many second sends.
pub const LARGEST_SAVING_MILLI: u64 = 10_000;

/// Cost of one second send, in thousandths.
const SECOND_SEND_MILLI: u64 = 1000;

/// Retries, hedges and resumed streams all spend from it; only first sends earn.
///
/// It starts empty and has no floor, so over any history of any number of nodes, restarts
/// included, second sends are at most 15% of the first ones.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved_milli: Mutex<u64>,
}

impl RetryBudget {
    /// Counts a first send.
    pub fn earn(&self) {
        let mut saved = self.lock();
        *saved = (*saved + EARNED_PER_FIRST_SEND_MILLI).min(LARGEST_SAVING_MILLI);
    }

    /// Gives back a second send of which no byte left.
    pub fn refund(&self) {
        let mut saved = self.lock();
        *saved = (*saved + SECOND_SEND_MILLI).min(LARGEST_SAVING_MILLI);
    }

    /// Takes one second send out of the budget, if it holds one.
    #[must_use]
    pub fn try_spend(&self) -> bool {
        let mut saved = self.lock();
        let Some(left) = saved.checked_sub(SECOND_SEND_MILLI) else {
            return false;
        };
        *saved = left;
        true
    }

    fn lock(&self) -> MutexGuard<'_, u64> {
        self.saved_milli
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
