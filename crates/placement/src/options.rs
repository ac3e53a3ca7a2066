//! Options of the placer.

use std::collections::BTreeMap;

use millford_core::Duration;

/// Limit of the used share of a backend's memory bandwidth if the pool's configuration sets none,
/// in percent.
pub const DEFAULT_BANDWIDTH_LIMIT_PERCENT: u32 = 65;
/// Utilization up to which transitions may proceed if the pool's configuration sets none, in
/// percent.
pub const DEFAULT_TRANSITION_BUDGET_PERCENT: u32 = 70;
/// Drain time of a replica if the pool's configuration sets none, in milliseconds.
pub const DEFAULT_DRAIN_MS: u32 = 30_000;
/// Longest deferral of a transition if the pool's configuration sets none, in milliseconds: ten
/// minutes.
pub const DEFAULT_LONGEST_DEFERRAL_MS: u32 = 600_000;

/// Options of the placer that are not part of a pool's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacerOptions {
    /// How long a reported count of work in flight is valid unless it is refreshed.
    pub member_stale_after: Duration,
    /// Fewest replicas of a model when sized by load, if enough backends declare it.
    pub min_replicas: usize,
    /// Whether models that share backends get only the replicas that their load needs. Off by
    /// default: backends that declare a model hold it in memory anyway, and fewer replicas gave
    /// worse results in the experiment `bandwidth`.
    pub size_by_load: bool,
    /// Utilization for which the number of replicas on shared backends is computed when sized by
    /// load, from 0 to 1.
    pub target_utilization: f64,
    /// How long a model must have had more replicas than desired before one is withdrawn.
    pub scale_down_delay: Duration,
    /// Shortest time between two steps of a transition or of scaling down.
    pub step_interval: Duration,
    /// Shortest time between two forced steps of a transition.
    pub forced_step_interval: Duration,
    /// Share of a model's backends that one step of a transition may change, from 0 to 1. One
    /// backend is always allowed.
    pub step_share: f64,
    /// How long a backend must have been above its bandwidth limit before it is relieved.
    pub bandwidth_relief_delay: Duration,
    /// How long a backend must have been well below its bandwidth limit before its lowered weights
    /// are raised by one step, and the time between two such steps.
    pub recovery_delay: Duration,
    /// Time constant of the exponential mean of streams.
    pub smoothing: Duration,
    /// Time constant of the exponential mean of the time in which prompts are processed, from which
    /// utilization is estimated.
    pub utilization_smoothing: Duration,
    /// Shortest time for which a draining replica remains, so that nodes have reported the work
    /// that they sent to it.
    pub min_drain: Duration,
    /// Assumed memory bandwidth use of a stream of a model whose use is not known yet, in GB/s.
    pub prior_stream_gbps: f64,
    /// Known memory bandwidth use per stream by model, in GB/s. It is not learned for these models.
    pub declared_stream_gbps: BTreeMap<String, f64>,
    /// Whether placement considers memory bandwidth. Switched off only for comparison.
    pub bandwidth_dimension: bool,
    /// Whether transitions wait until utilization is within the budget. Switched off only for
    /// comparison.
    pub transition_gate: bool,
}

impl Default for PlacerOptions {
    fn default() -> Self {
        Self {
            member_stale_after: Duration::from_secs(5),
            min_replicas: 2,
            size_by_load: false,
            target_utilization: 0.6,
            scale_down_delay: Duration::from_mins(1),
            step_interval: Duration::from_secs(2),
            forced_step_interval: Duration::from_secs(15),
            step_share: 0.1,
            bandwidth_relief_delay: Duration::from_secs(5),
            recovery_delay: Duration::from_secs(10),
            smoothing: Duration::from_secs(2),
            utilization_smoothing: Duration::from_secs(10),
            min_drain: Duration::from_secs(1),
            prior_stream_gbps: 1.0,
            declared_stream_gbps: BTreeMap::new(),
            bandwidth_dimension: true,
            transition_gate: true,
        }
    }
}
