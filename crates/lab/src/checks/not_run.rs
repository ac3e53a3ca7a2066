//! A refusal that says "not run" is true.

use millford_core::RunState;

use super::history::History;
use super::verdict::Verdict;
use crate::caller::{Ending, RequestOutcome};

/// Judges every rejection that says "not run", and every request that found no connection.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("a refusal that says \"not run\" is true");
    let executions = history.executions_by_marker();
    for (marker, calls) in history.requests_by_marker() {
        let claims = calls.iter().filter(|call| says_not_run(call)).count();
        verdict.judged += claims;
        // A request sent again after the refusal may run: only runs before it speak against the refusal.
        let first_other = calls.iter().filter(|call| !says_not_run(call));
        let may_run_from = first_other
            .map(|call| call.started_micros)
            .min()
            .unwrap_or(u64::MAX);
        let runs = executions.get(marker).into_iter().flatten();
        for execution in runs.filter(|run| run.started_micros < may_run_from) {
            let backend = &execution.backend;
            verdict.violate(format!(
                "request {marker} was refused as not run, but ran on {backend}"
            ));
        }
    }
    verdict
}

fn says_not_run(call: &RequestOutcome) -> bool {
    match &call.ending {
        Ending::NotConnected => true,
        Ending::Failure { run, .. } => *run == Some(RunState::NotRun),
        _ => false,
    }
}
