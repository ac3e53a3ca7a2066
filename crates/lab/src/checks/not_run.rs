//! Checks that a request refused as "not run" did not run.

use millford_core::RunState;

use super::history::History;
use super::verdict::Verdict;
use crate::caller::{Ending, RequestOutcome};

/// Checks every refusal with the run state "not run" and every request that could not connect.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("a request refused as \"not run\" did not run");
    let executions = history.executions_by_marker();
    for (marker, calls) in history.requests_by_marker() {
        let claims = calls.iter().filter(|call| claims_not_run(call)).count();
        verdict.judged += claims;
        // A later send of the same request may run, so only executions before it violate the guarantee.
        let first_other = calls.iter().filter(|call| !claims_not_run(call));
        let may_run_from = first_other
            .map(|call| call.started_micros)
            .min()
            .unwrap_or(u64::MAX);
        let runs = executions.get(marker).into_iter().flatten();
        for execution in runs.filter(|run| run.started_micros < may_run_from) {
            let backend = &execution.backend;
            verdict.record_violation(format!(
                "request {marker} was refused as not run, but ran on {backend}"
            ));
        }
    }
    verdict
}

fn claims_not_run(call: &RequestOutcome) -> bool {
    match &call.ending {
        Ending::NotConnected => true,
        Ending::Failure { run, .. } => *run == Some(RunState::NotRun),
        _ => false,
    }
}
