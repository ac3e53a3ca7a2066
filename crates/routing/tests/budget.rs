//! The retry budget bounds second sends by construction.

use millford_routing::RetryBudget;
use quickcheck::quickcheck;

quickcheck! {
    /// Over any history, second sends stay within 15% of the first ones.
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

    /// Restarts of many nodes at any time do not add to the sum.
    fn restarts_do_not_add_retries(incarnations: Vec<Vec<bool>>) -> bool {
        let (mut first_attempts, mut retries) = (0u64, 0u64);
        for incarnation in incarnations {
            let budget = RetryBudget::default();
            for is_first in incarnation {
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
fn a_new_node_may_not_retry() {
    let budget = RetryBudget::default();
    assert!(!budget.try_spend());
}

#[test]
fn an_idle_period_does_not_accumulate_a_retry_storm() {
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
