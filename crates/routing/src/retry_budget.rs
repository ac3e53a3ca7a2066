//! Budget for sends to a second backend.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// What each first send earns, in thousandths of a second send.
pub const EARNED_PER_FIRST_ATTEMPT_MILLI: u64 = 150;

/// Most that may be saved up, in thousandths: a burst of at most this many second sends.
pub const MAX_BALANCE_MILLI: u64 = 10_000;

/// Cost of one second send, in thousandths.
const RETRY_COST_MILLI: u64 = 1000;

/// Retries, hedges and resumed streams all spend from it; only first sends earn.
///
/// It starts empty and has no floor, so over any history of any number of nodes, restarts
/// included, second sends are at most 15% of the first ones.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balance_milli: Mutex<u64>,
}

impl RetryBudget {
    /// Counts a first send.
    pub fn earn(&self) {
        let mut balance = self.lock();
        *balance = (*balance + EARNED_PER_FIRST_ATTEMPT_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Gives back a second send of which no byte left.
    pub fn refund(&self) {
        let mut balance = self.lock();
        *balance = (*balance + RETRY_COST_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Takes one second send out of the budget, if it holds one.
    #[must_use]
    pub fn try_spend(&self) -> bool {
        let mut balance = self.lock();
        let Some(left) = balance.checked_sub(RETRY_COST_MILLI) else {
            return false;
        };
        *balance = left;
        true
    }

    fn lock(&self) -> MutexGuard<'_, u64> {
        self.balance_milli
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
