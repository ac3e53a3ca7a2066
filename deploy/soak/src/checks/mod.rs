//! Checks of a run's history against the users' rules. They are pure, so that planted histories test them.

pub mod at_most_once;
pub mod config;
pub mod contact;
pub mod drain;
pub mod lost;
pub mod memory;
pub mod order;
pub mod recovery;
pub mod route;

use std::fmt;

use crate::history::{History, Moment};

/// A rule of the users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A configuration is in force in time, does not come back older, and is read back.
    Config,
    /// A request with a key that no configuration ever held does not run.
    Route,
    /// A draining backend gets no more requests.
    Drain,
    /// A request that must not run twice runs at most once.
    Twice,
    /// A refusal that promises that a request has not run is true.
    Refused,
    /// An accepted request gets its answer.
    Lost,
    /// Service returns after the disruptions.
    Recover,
    /// Processes run until they are told to end.
    OwnEnd,
    /// Processes stay below their memory limit.
    Memory,
}

/// A break of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// When it was broken.
    pub at: Moment,
    /// What happened.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at.as_secs_f64();
        write!(formatter, "{:?} at {seconds:.3}: {}", self.rule, self.text)
    }
}

/// Returns every break of a rule, in the order of the rules.
#[must_use]
pub fn violations(history: &History) -> Vec<Violation> {
    let mut found = config::check(history);
    found.extend(order::check(history));
    found.extend(route::check(history));
    found.extend(drain::check(history));
    found.extend(at_most_once::check(history));
    found.extend(lost::check(history));
    found.extend(recovery::check(history));
    found.extend(memory::check(history));
    found
}
