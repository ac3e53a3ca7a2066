//! Checks that a request that may not be repeated never runs twice.

use super::history::History;
use super::verdict::Verdict;

/// Checks the number of executions of every request that may not be repeated.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("at most one run of a request that may not be repeated");
    let executions = history.executions_by_marker();
    let mut most = 0;
    for (marker, calls) in history.requests_by_marker() {
        if calls.iter().any(|call| call.repeatable) {
            continue;
        }
        verdict.judged += 1;
        let runs = executions.get(marker).map_or(0, Vec::len);
        most = most.max(runs);
        if runs > 1 {
            verdict.record_violation(format!("request {marker} ran {runs} times"));
        }
    }
    verdict.worst = Some(format!("{most} runs"));
    verdict
}
