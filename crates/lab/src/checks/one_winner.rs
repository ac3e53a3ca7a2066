//! When two operators build on the same number exactly one wins, and an order sent again is
//! acknowledged again under its number.

use std::collections::BTreeMap;

use super::history::{History, OrderResult};
use super::verdict::Verdict;

/// Judges every response to an order.
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
                verdict.violate(format!(
                    "order {id} accepted as {earlier}, then as {revision}"
                ));
            }
            (OrderResult::Refused(code), Some(earlier)) if is_final_refusal(code) => {
                verdict.violate(format!(
                    "order {id} accepted as {earlier}, then refused: {code}"
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
            verdict.violate(format!(
                "orders {} and {id} both won on base {base}",
                winner.0
            ));
        }
        if revision <= order.base_revision {
            verdict.violate(format!("order {id} got {revision}, not above its base"));
        }
    }
    verdict
}

/// A refusal that is not only "no leader now, come back".
fn is_final_refusal(code: u32) -> bool {
    (4001..=4003).contains(&code)
}
