//! A single run of a scenario.

use crate::checkers::{CheckResults, Guarantee};
use crate::scenario::{Bound, Expectation, Scenario};
use crate::world::{RunOptions, Simulation};

/// Results of one run of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// Seed of the run.
    pub seed: u64,
    /// Violations and measured figures.
    pub results: CheckResults,
    /// Hash of the run's events; the same for every run of the seed.
    pub trace_hash: u64,
    /// Number of events in the hash.
    pub events: u64,
}

impl RunReport {
    /// Returns whether no guarantee was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.results.violations.is_empty()
    }
}

/// Runs a scenario once, with the checkers and the scenario's expectations.
#[must_use]
pub fn run_scenario(scenario: &Scenario, options: RunOptions) -> RunReport {
    let mut simulation = Simulation::new(scenario, options);
    let mut results = simulation.run();
    for expectation in &scenario.expectations {
        check_expectation(*expectation, &mut results, &simulation);
    }
    RunReport {
        seed: options.seed,
        results,
        trace_hash: simulation.trace_hash(),
        events: simulation.events(),
    }
}

fn check_expectation(
    expectation: Expectation,
    results: &mut CheckResults,
    simulation: &Simulation,
) {
    // A figure that was never measured counts as 0: within any upper bound, below any lower bound but 0.
    let value = results.figures.get(expectation.figure).unwrap_or(0);
    let is_met = match expectation.bound {
        Bound::AtLeast => value >= expectation.value,
        Bound::AtMost => value <= expectation.value,
    };
    if !is_met {
        let text = format!(
            "figure {} is {value}, outside its bound",
            expectation.figure.keyword()
        );
        results.record_violation(simulation.now(), Guarantee::Expectation, text);
    }
}
