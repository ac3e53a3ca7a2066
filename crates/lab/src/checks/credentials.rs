//! Backends never see a tenant key.

use super::history::History;
use super::verdict::Verdict;
use crate::emulator::execution::Execution;

/// Judges the headers of every execution.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("no backend sees a tenant key");
    for execution in &history.executions {
        verdict.judged += 1;
        if execution.saw_credential {
            let Execution {
                backend, attempt, ..
            } = execution;
            verdict.violate(format!("{backend} got a credential with attempt {attempt}"));
        }
    }
    verdict
}
