//! Checks that no tenant key is forwarded to a backend.

use super::history::History;
use super::verdict::Verdict;
use crate::emulator::execution::Execution;

/// Checks every execution for credentials in its request headers.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("no backend receives a tenant key");
    for execution in &history.executions {
        verdict.judged += 1;
        if execution.saw_credential {
            let Execution {
                backend, attempt, ..
            } = execution;
            verdict.record_violation(format!("{backend} got a credential with attempt {attempt}"));
        }
    }
    verdict
}
