//! Rule ROUTE for keys: no request runs with a key that no configuration ever held.

use std::collections::BTreeSet;

use super::{Rule, Violation};
use crate::history::{History, Target};

/// Checks every request that a backend ran.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    let requests = history.requests.iter();
    let forbidden: BTreeSet<&str> = requests
        .filter(|request| request.target == Target::NeverHeldKey)
        .map(|request| request.id.as_str())
        .collect();
    let runs = history.runs.iter();
    runs.filter(|run| forbidden.contains(run.request.as_str()))
        .map(|run| Violation {
            rule: Rule::Route,
            at: run.at,
            text: format!("{} ran {} with a key never held", run.backend, run.request),
        })
        .collect()
}
