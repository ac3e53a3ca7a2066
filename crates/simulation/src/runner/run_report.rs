//! One run of a scenario.

use crate::checkers::{Guarantee, Verdict};
use crate::scenario::{Bound, Expectation, Scenario};
use crate::world::{RunOptions, Site};

/// What a run showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// Seed of the run.
    pub seed: u64,
    /// Violations and figures.
    pub verdict: Verdict,
    /// Hash of everything that happened.
    pub trace_hash: u64,
    /// Events of the run.
    pub events: u64,
}

impl RunReport {
    /// Whether no guarantee was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.verdict.violations.is_empty()
    }
}

/// Runs a scenario once.
#[must_use]
pub fn run_scenario(scenario: &Scenario, options: RunOptions) -> RunReport {
    let mut site = Site::new(scenario, options);
    let mut verdict = site.run();
    for expectation in &scenario.expectations {
        check_expectation(*expectation, &mut verdict, &site);
    }
    RunReport {
        seed: options.seed,
        verdict,
        trace_hash: site.trace_hash(),
        events: site.events(),
    }
}

fn check_expectation(expectation: Expectation, verdict: &mut Verdict, site: &Site) {
    // What was never measured keeps any upper bound and no lower one.
    let value = verdict.figures.get(expectation.figure).unwrap_or(0);
    let is_met = match expectation.bound {
        Bound::AtLeast => value >= expectation.value,
        Bound::AtMost => value <= expectation.value,
    };
    if !is_met {
        let text = format!("{} is {value}", expectation.figure.keyword());
        verdict.record_violation(site.now(), Guarantee::Expectation, text);
    }
}
