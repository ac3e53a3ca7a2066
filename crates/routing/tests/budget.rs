//! The retry budget limits retries to 15% of the first attempts.

use millford_routing::RetryBudget;
use quickcheck::quickcheck;

quickcheck! {
    /// Retries never exceed 15% of the first attempts, in any order of events.
    fn retries_stay_within_the_ratio(history: Vec<bool>) -> bool {
        let budget = RetryBudget::default();
        let (mut first_attempts, mut retries) = (0u64, 0u64);
        for is_first in history {
            if is_first {
                budget.earn();
                first_attempts += 1;
            } else if budget.try_spend() {
                retries += 1;
            }
            if retries * 100 > first_attempts * 15 {
                return false;
            }
        }
        true
    }

    /// The limit also holds for the sum over many nodes and restarts.
    fn the_ratio_holds_across_restarts(process_histories: Vec<Vec<bool>>) -> bool {
        let (mut first_attempts, mut retries) = (0u64, 0u64);
        for process_history in process_histories {
            let budget = RetryBudget::default();
            for is_first in process_history {
                if is_first {
                    budget.earn();
                    first_attempts += 1;
                } else if budget.try_spend() {
                    retries += 1;
                }
            }
        }
        retries * 100 <= first_attempts * 15
    }
}

#[test]
fn a_new_node_cannot_retry() {
    let budget = RetryBudget::default();
    assert!(!budget.try_spend());
}

#[test]
fn the_balance_limits_a_burst_of_retries() {
    let budget = RetryBudget::default();
    (0..100_000).for_each(|_| budget.earn());
    let burst = (0..1_000).filter(|_| budget.try_spend()).count();
    assert_eq!(burst, 10);
}

#[test]
fn a_retry_that_was_never_sent_is_refunded() {
    let budget = RetryBudget::default();
    (0..7).for_each(|_| budget.earn());
    assert!(budget.try_spend());
    assert!(!budget.try_spend());
    budget.refund();
    assert!(budget.try_spend());
}
