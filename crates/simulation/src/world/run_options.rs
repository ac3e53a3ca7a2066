//! Options of a run.

use crate::world::injected_defect::InjectedDefect;

/// Options of a single run of a scenario.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// Seed of the run's random number generator.
    pub seed: u64,
    /// Whether the history is printed.
    pub verbose: bool,
    /// Defect to inject, for tests of the checkers; none otherwise.
    pub defect: Option<InjectedDefect>,
}
