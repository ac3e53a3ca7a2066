//! Budget for retries and hedges.

use std::sync::{Mutex, MutexGuard};

use crate::lock::lock;

/// What each first attempt earns, in thousandths of a retry.
pub const EARNED_PER_FIRST_ATTEMPT_MILLI: u64 = 150;

/// Largest balance, in thousandths of a retry: it bounds a burst of retries.
pub const MAX_BALANCE_MILLI: u64 = 10_000;

/// Cost of one retry, in thousandths.
const RETRY_COST_MILLI: u64 = 1000;

/// Retries, hedges and resumed streams all spend from it; only first attempts earn.
///
/// It starts empty and has no floor, so over any history of any number of nodes, restarts
/// included, retries are at most 15% of the first attempts.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balance_milli: Mutex<u64>,
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&self) {
        let mut balance = self.lock();
        *balance = (*balance + EARNED_PER_FIRST_ATTEMPT_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Puts back a retry of which no byte was sent.
    pub fn refund(&self) {
        let mut balance = self.lock();
        *balance = (*balance + RETRY_COST_MILLI).min(MAX_BALANCE_MILLI);
    }

    /// Takes one retry out of the budget, if it holds one.
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
        lock(&self.balance_milli)
    }
}
