//! A scenario as read from its file.

use std::time::Duration;

use crate::scenario::draw::Draw;
use crate::scenario::expectation::Expectation;
use crate::scenario::fault::TimedFault;
use crate::scenario::topology::Topology;
use crate::scenario::workload::Workload;

/// A scenario: everything of a run but its seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Unique name.
    pub name: String,
    /// Machines. Several sites: the seed chooses one.
    pub sites: Vec<Topology>,
    /// Length of the run in simulated time.
    pub duration: Duration,
    /// Seeds run when the command names no number.
    pub seeds: u64,
    /// Traffic.
    pub workload: Workload,
    /// Faults at fixed times.
    pub faults: Vec<TimedFault>,
    /// Faults drawn by the seed.
    pub draws: Vec<Draw>,
    /// Bounds on the figures of this scenario.
    pub expectations: Vec<Expectation>,
}

impl Scenario {
    /// The site that a seed runs on.
    #[must_use]
    pub fn site(&self, seed: u64) -> Topology {
        let sites = self.sites.len().max(1) as u64;
        let index = usize::try_from(seed % sites).unwrap_or(0);
        self.sites.get(index).copied().unwrap_or(Topology::SMALL)
    }
}
