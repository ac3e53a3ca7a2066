//! How one run of a scenario is started.

use crate::world::defect::Defect;

/// Seed and switches of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// Seed of everything random.
    pub seed: u64,
    /// Whether the history is printed.
    pub verbose: bool,
    /// A planted defect, for tests of the checkers.
    pub defect: Option<Defect>,
}
