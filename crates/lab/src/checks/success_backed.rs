//! A caller never receives a success that no backend gave.

use super::history::History;
use super::verdict::Verdict;
use crate::emulator::execution::ExecutionEnd;

/// Judges every success.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("every success was given by a backend");
    let executions = history.executions_by_marker();
    for call in history.calls.iter().filter(|call| call.succeeded()) {
        verdict.judged += 1;
        let runs = executions.get(call.marker.as_str());
        let completed = runs
            .into_iter()
            .flatten()
            .any(|execution| execution.end == Some(ExecutionEnd::Completed));
        if !completed {
            verdict.violate(format!(
                "request {} succeeded without a completed run",
                call.marker
            ));
        }
    }
    verdict
}
