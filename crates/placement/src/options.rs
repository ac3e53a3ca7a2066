//! Options of the placement role.

use std::collections::BTreeMap;

use millford_core::Duration;

/// Largest used share of the memory bandwidth when the pool names none, in percent.
pub const DEFAULT_BANDWIDTH_LIMIT_PERCENT: u32 = 65;
/// Transition threshold when the pool names none, in percent of utilization.
pub const DEFAULT_TRANSITION_BUDGET_PERCENT: u32 = 70;
/// Time to drain when the pool names none, in milliseconds.
pub const DEFAULT_DRAIN_MS: u32 = 30_000;
/// Longest deferral of a transition when the pool names none, in milliseconds: ten minutes.
pub const DEFAULT_LONGEST_DEFERRAL_MS: u32 = 600_000;

/// Figures that the pool's configuration does not carry.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacerOptions {
    /// A reported count is valid for this long unless it is refreshed.
    pub member_stale_after: Duration,
    /// Fewest replicas of a model, as far as enough backends declare it.
    pub min_replicas: usize,
    /// Whether models on shared backends get only the replicas that their load needs. Off by default:
    /// backends that declare a model hold it in memory anyway, and fewer replicas measured worse
    /// (experiment `bandwidth`).
    pub size_by_load: bool,
    /// Utilization that replicas on shared backends are sized for, when sized by load.
    pub target_utilization: f64,
    /// A surplus replica is withdrawn only after it was surplus for this long.
    pub scale_down_delay: Duration,
    /// Least time between two steps of a transition or of scaling down.
    pub step_interval: Duration,
    /// Least time between two forced steps of a transition.
    pub forced_step_interval: Duration,
    /// Share of a model's backends that one step may touch, from 0 to 1; at least one backend.
    pub step_share: f64,
    /// A backend above its bandwidth limit is relieved after this long.
    pub bandwidth_relief_delay: Duration,
    /// Lowered weights on a backend well below its limit rise after this long, step by step.
    pub recovery_delay: Duration,
    /// Time constant of the mean of streams.
    pub smoothing: Duration,
    /// Time constant of the mean of busy moments, which utilization is estimated from.
    pub utilization_smoothing: Duration,
    /// A draining replica remains at least this long, so that nodes have reported what they sent it.
    pub min_drain: Duration,
    /// Bandwidth use of a stream of an unknown model, in GB/s.
    pub prior_stream_gbps: f64,
    /// Known bandwidth use per stream by model, in GB/s; it is not learned then.
    pub declared_stream_gbps: BTreeMap<String, f64>,
    /// Whether memory bandwidth is a packing dimension. Off only for comparison.
    pub bandwidth_dimension: bool,
    /// Whether transitions wait for the budget. Off only for comparison.
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
