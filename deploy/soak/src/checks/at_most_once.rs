//! Rules TWICE and REFUSED: a request that must not run twice runs at most once, and never after a refusal that
//! promises that it has not run.

use std::collections::HashMap;

use super::{Rule, Violation};
use crate::history::{Ending, History, Run, Target};

/// Checks every request on a route whose requests must not run twice.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        runs.entry(run.request.as_str()).or_default().push(run);
    }
    let mut found = Vec::new();
    for request in &history.requests {
        let runs = runs.get(request.id.as_str()).map_or(0, Vec::len);
        if matches!(request.target, Target::Probe { .. }) || runs == 0 {
            continue;
        }
        let rule = match request.ending {
            _ if runs > 1 => Rule::Twice,
            Ending::Answered(408 | 421 | 429 | 503) => Rule::Refused,
            _ => continue,
        };
        found.push(Violation {
            rule,
            at: request.sent,
            text: format!(
                "{} ran {runs} times and ended as {:?}",
                request.id, request.ending
            ),
        });
    }
    found
}
