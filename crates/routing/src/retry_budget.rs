//! Budget for retries, hedges and resumed streams.

use std::sync::{Mutex, MutexGuard};

use crate::lock::lock;

/// Budget earned by each first attempt, in thousandths of a retry.
pub const EARNED_PER_FIRST_ATTEMPT_MILLI: u64 = 150;

/// Largest balance, in thousandths of a retry. It limits the size of a burst of retries.
pub const MAX_BALANCE_MILLI: u64 = 10_000;

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST_MILLI: u64 = 1000;

/// Budget that first attempts earn and that retries, hedges and resumed streams spend.
///
/// It starts empty and grants no minimum, so retries are at most 15% of the first attempts at any time,
/// over any number of nodes and restarts.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balance_milli: Mutex<u64>,
}

impl RetryBudget {
    /// Adds what a first attempt earns, up to [`MAX_BALANCE_MILLI`].
    pub fn earn(&self) {
        let mut balance = self.lock();
        *balance = (*balance + EARNED_PER_FIRST_ATTEMPT_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Puts the cost of a retry back into the budget. Called if no byte of the retry was sent.
    pub fn refund(&self) {
        let mut balance = self.lock();
        *balance = (*balance + RETRY_COST_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Spends the cost of one retry. Returns false if the balance is too low.
    #[must_use]
    pub fn try_spend(&self) -> bool {
        let mut balance = self.lock();
        let Some(remaining) = balance.checked_sub(RETRY_COST_MILLI) else {
            return false;
        };
        *balance = remaining;
        true
    }

    fn lock(&self) -> MutexGuard<'_, u64> {
        lock(&self.balance_milli)
    }
}
