//! An acknowledged configuration governs every node in touch within two seconds.

use super::history::{History, OrderResult};
use super::verdict::{Verdict, keep_worst, millis_text};

/// Longest time to adopt a revision, in microseconds.
const ADOPTION_BOUND_MICROS: u64 = 2_000_000;

/// Judges every request that names a revision, outside of disturbances.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("an acknowledged configuration is adopted within 2 s");
    let mut worst = None;
    for (acknowledged, revision) in acknowledgements(history) {
        let calls = history
            .calls
            .iter()
            .filter(|call| call.started_micros > acknowledged);
        for call in calls.filter(|call| !history.is_disturbed(call.started_micros)) {
            let Some(applied_revisions) = call.revision else {
                continue;
            };
            verdict.judged += 1;
            if applied_revisions >= revision {
                continue;
            }
            let age = call.started_micros - acknowledged;
            keep_worst(&mut worst, age);
            if age > ADOPTION_BOUND_MICROS {
                let text = format!(
                    "proxy {} showed {applied_revisions} {}",
                    call.proxy,
                    millis_text(age)
                );
                verdict.violate(format!("{text} after {revision} was acknowledged"));
            }
        }
    }
    verdict.worst = worst.map(millis_text);
    verdict
}

/// Time and number of each first acknowledgement.
fn acknowledgements(history: &History) -> Vec<(u64, u64)> {
    let accepted = history
        .orders
        .iter()
        .filter_map(|order| match order.result {
            OrderResult::Accepted(revision) => Some((order.answered_micros, revision)),
            _ => None,
        });
    let mut acknowledgements: Vec<(u64, u64)> = accepted.collect();
    acknowledgements.sort_unstable();
    acknowledgements.dedup_by_key(|acknowledgement| acknowledgement.1);
    acknowledgements
}
