//! Checks that every successful response stems from a completed execution on a backend.

use super::history::History;
use super::verdict::Verdict;
use crate::emulator::execution::ExecutionEnd;

/// Checks that every request that succeeded has a completed execution.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("every success comes from a backend");
    let executions = history.executions_by_marker();
    for call in history.calls.iter().filter(|call| call.succeeded()) {
        verdict.judged += 1;
        let runs = executions.get(call.marker.as_str());
        let completed = runs
            .into_iter()
            .flatten()
            .any(|execution| execution.end == Some(ExecutionEnd::Completed));
        if !completed {
            verdict.record_violation(format!(
                "request {} succeeded without a completed execution",
                call.marker
            ));
        }
    }
    verdict
}
