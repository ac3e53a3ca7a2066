//! The retry budget bounds second sends by construction.

use millford_routing::RetryBudget;
use quickcheck::quickcheck;

quickcheck! {
    /// Over any history, second sends stay within 15% of the first ones.
    fn second_sends_stay_within_the_ratio(history: Vec<bool>) -> bool {
        let budget = RetryBudget::default();
        let (mut firsts, mut seconds) = (0u64, 0u64);
        for is_first in history {
            if is_first {
                budget.earn();
                firsts += 1;
            } else if budget.try_spend() {
                seconds += 1;
            }
            if seconds * 100 > firsts * 15 {
                return false;
            }
        }
        true
    }

    /// Restarts of many nodes at any time do not add to the sum.
    fn restarts_do_not_add_sends(lives: Vec<Vec<bool>>) -> bool {
        let (mut firsts, mut seconds) = (0u64, 0u64);
        for life in lives {
            let budget = RetryBudget::default();
            for is_first in life {
                if is_first {
                    budget.earn();
                    firsts += 1;
                } else if budget.try_spend() {
                    seconds += 1;
                }
            }
        }
        seconds * 100 <= firsts * 15
    }
}

#[test]
fn a_new_node_may_not_send_twice() {
    let budget = RetryBudget::default();
    assert!(!budget.try_spend());
}

#[test]
fn a_quiet_day_does_not_save_up_a_storm() {
    let budget = RetryBudget::default();
    (0..100_000).for_each(|_| budget.earn());
    let burst = (0..1_000).filter(|_| budget.try_spend()).count();
    assert_eq!(burst, 10);
}

#[test]
fn a_send_that_never_left_is_refunded() {
    let budget = RetryBudget::default();
    (0..7).for_each(|_| budget.earn());
    assert!(budget.try_spend());
    assert!(!budget.try_spend());
    budget.refund();
    assert!(budget.try_spend());
}
