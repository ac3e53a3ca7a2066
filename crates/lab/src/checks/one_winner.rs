//! Checks that of several orders on one base revision at most one is accepted, and that a resent order is
//! acknowledged with the same revision.

use std::collections::BTreeMap;

use super::history::{History, OrderResult};
use super::verdict::Verdict;

/// Checks every response to an order, in the order of arrival.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("one winner per base, resent orders acknowledged again");
    let mut winners: BTreeMap<u64, (&str, u64)> = BTreeMap::new();
    let mut accepted: BTreeMap<&str, u64> = BTreeMap::new();
    let mut orders: Vec<_> = history.orders.iter().collect();
    orders.sort_by_key(|order| order.answered_micros);
    for order in orders {
        verdict.judged += 1;
        let id = order.order_id.as_str();
        match (order.result, accepted.get(id)) {
            (OrderResult::Accepted(revision), Some(earlier)) if revision != *earlier => {
                verdict.record_violation(format!(
                    "order {id} was accepted as revision {earlier}, then as {revision}"
                ));
            }
            (OrderResult::Refused(code), Some(earlier)) if is_final_refusal(code) => {
                verdict.record_violation(format!(
                    "order {id} was accepted as revision {earlier}, then refused with result code {code}"
                ));
            }
            _ => {}
        }
        let OrderResult::Accepted(revision) = order.result else {
            continue;
        };
        accepted.insert(id, revision);
        let winner = winners.entry(order.base_revision).or_insert((id, revision));
        if winner.0 != id {
            let base = order.base_revision;
            verdict.record_violation(format!(
                "orders {} and {id} were both accepted on base revision {base}",
                winner.0
            ));
        }
        if revision <= order.base_revision {
            verdict.record_violation(format!(
                "order {id} got revision {revision}, not above its base"
            ));
        }
    }
    verdict
}

/// Returns whether the code refuses the order itself, unlike codes for a missing leader or an overload, after
/// which the order may be sent again.
fn is_final_refusal(code: u32) -> bool {
    (4001..=4003).contains(&code)
}
