//! A parsed scenario file.

use std::time::Duration;

use crate::scenario::draw::Draw;
use crate::scenario::expectation::Expectation;
use crate::scenario::fault::TimedFault;
use crate::scenario::topology::Topology;
use crate::scenario::workload::Workload;

/// A scenario: everything that determines a run, apart from the seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Name in reports; unique among the scenario files.
    pub name: String,
    /// Topologies to run on; if there are several, the seed selects one.
    pub topologies: Vec<Topology>,
    /// Length of the run in simulated time.
    pub duration: Duration,
    /// Number of seeds to run if the command line gives none.
    pub seeds: u64,
    /// Traffic of callers and operators.
    pub workload: Workload,
    /// Faults at fixed times, sorted by time.
    pub faults: Vec<TimedFault>,
    /// Faults drawn at random from the seed.
    pub draws: Vec<Draw>,
    /// Bounds on the measured figures of a run.
    pub expectations: Vec<Expectation>,
}

impl Scenario {
    /// Returns the topology that a seed runs on.
    #[must_use]
    pub fn topology(&self, seed: u64) -> Topology {
        let topologies = self.topologies.len().max(1) as u64;
        let index = usize::try_from(seed % topologies).unwrap_or(0);
        self.topologies
            .get(index)
            .copied()
            .unwrap_or(Topology::SMALL)
    }
}
