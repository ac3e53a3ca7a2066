//! What is simulated.

use millford_core::Duration;

/// How a node learns what others have in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Each node reports all its counts to every other node, once in a period.
    Broadcast {
        /// The period.
        period: Duration,
    },
    /// A node queries the owners of some backends, drawn at random, for their current counts.
    Owners {
        /// Backends that are queried.
        drawn: usize,
        /// From the query to the dispatch: choices made meanwhile do not see each other.
        round_trip: Duration,
    },
    /// Every node sees the true counts of all backends at once.
    Omniscient,
    /// A backend is drawn at random, whatever is in flight.
    Nothing,
}

/// A fleet and its traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadAgeOptions {
    /// Seed of all that is random.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Backends.
    pub backends: usize,
    /// Share of the backends' time that the prompts take.
    pub utilization: f64,
    /// How counts are shared.
    pub sharing: Sharing,
    /// Simulated time.
    pub length: Duration,
}
