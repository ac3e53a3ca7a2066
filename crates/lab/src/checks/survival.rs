//! Checks that no acknowledged configuration is lost.

use super::history::{History, OrderResult};
use super::verdict::Verdict;

/// Compares every confirmed read with the orders acknowledged before it was requested.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("acknowledged configurations survive, reads are confirmed");
    for read in &history.reads {
        verdict.judged += 1;
        let before = history
            .orders
            .iter()
            .filter(|order| order.answered_micros < read.requested_micros);
        let accepted = before.filter_map(|order| match order.result {
            OrderResult::Accepted(revision) => Some(revision),
            _ => None,
        });
        let newest = accepted.max().unwrap_or(0);
        if read.revision < newest {
            let revision = read.revision;
            verdict.record_violation(format!(
                "a read returned revision {revision} after revision {newest} was acknowledged"
            ));
        }
    }
    verdict
}
