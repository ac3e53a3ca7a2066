//! Checks that a draining backend receives no new work after three seconds.

use super::history::History;
use super::verdict::{Verdict, keep_worst, millis_text};

/// Longest time after the drain order in which a backend may still receive new work, in microseconds.
const DRAIN_BOUND_MICROS: u64 = 3_000_000;

/// Checks every execution that started on a backend while it was draining.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("a draining backend gets no new work after 3 s");
    let mut worst = None;
    for drain in &history.drains {
        verdict.judged += 1;
        let until = drain.readmitted_micros.unwrap_or(u64::MAX);
        let drained = drain.ordered_micros..until;
        let on_backend = history
            .executions
            .iter()
            .filter(|run| run.backend == drain.backend);
        for run in on_backend.filter(|run| drained.contains(&run.started_micros)) {
            let age = run.started_micros - drain.ordered_micros;
            keep_worst(&mut worst, age);
            if age > DRAIN_BOUND_MICROS {
                verdict.record_violation(format!(
                    "{} got work {} after its drain",
                    run.backend,
                    millis_text(age)
                ));
            }
        }
    }
    verdict.worst = worst.map(millis_text);
    verdict
}
