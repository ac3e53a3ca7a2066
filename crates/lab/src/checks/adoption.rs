//! Checks that every connected node adopts an acknowledged configuration within two seconds.

use super::history::{History, OrderResult};
use super::verdict::{Verdict, keep_worst, millis_text};

/// Longest time to adopt a revision, in microseconds.
const ADOPTION_BOUND_MICROS: u64 = 2_000_000;

/// Checks every request whose response names a revision and that was not sent during a disturbance.
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
            let Some(applied_revision) = call.revision else {
                continue;
            };
            verdict.judged += 1;
            if applied_revision >= revision {
                continue;
            }
            let age = call.started_micros - acknowledged;
            keep_worst(&mut worst, age);
            if age > ADOPTION_BOUND_MICROS {
                let text = format!(
                    "proxy {} reported revision {applied_revision} {}",
                    call.proxy,
                    millis_text(age)
                );
                verdict
                    .record_violation(format!("{text} after revision {revision} was acknowledged"));
            }
        }
    }
    verdict.worst = worst.map(millis_text);
    verdict
}

/// Returns the time and revision of the first acknowledgement of each revision, in order of time.
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
