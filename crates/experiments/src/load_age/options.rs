//! Options of a simulation.

use millford_core::Duration;

/// Way in which nodes share the work that they have in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Each node reports all its counts to every other node once per period.
    Broadcast {
        /// Interval between two reports of a node.
        period: Duration,
    },
    /// For each request, a node queries the owners of some randomly drawn backends for their current counts.
    Owners {
        /// Number of backends whose owners are queried.
        drawn: usize,
        /// Time from the query to the dispatch. Choices made in this time do not see each other.
        round_trip: Duration,
    },
    /// Every node sees the true counts of all backends without delay.
    Omniscient,
    /// Nothing is shared; a backend is drawn at random regardless of its load.
    Nothing,
}

/// Options of a simulated fleet and its traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadAgeOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of backends.
    pub backends: usize,
    /// Mean utilization of the backends, between 0 and 1, from which the arrival rate follows.
    pub utilization: f64,
    /// Way in which nodes share their counts.
    pub sharing: Sharing,
    /// Simulated time during which requests arrive.
    pub length: Duration,
}
