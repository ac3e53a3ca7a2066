//! Limits of a pool with their defaults filled in.

use millford_api::config::Pool;
use millford_core::Duration;

use crate::options::{
    DEFAULT_BANDWIDTH_LIMIT_PERCENT, DEFAULT_DRAIN_MS, DEFAULT_LONGEST_DEFERRAL_MS,
    DEFAULT_TRANSITION_BUDGET_PERCENT,
};

/// A pool's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// Time for a draining replica's work to end or move.
    pub drain: Duration,
    /// Largest used share of a backend's memory bandwidth, from 0 to 1.
    pub max_bandwidth_share: f64,
    /// Utilization up to which a transition may go on, from 0 to 1.
    pub transition_budget: f64,
    /// Longest deferral of a transition.
    pub longest_deferral: Duration,
}

impl From<&Pool> for PoolLimits {
    fn from(pool: &Pool) -> Self {
        let or = |value: u32, default: u32| if value == 0 { default } else { value };
        let millis = |value: u32| Duration::from_millis(u64::from(value));
        let share = |percent: u32| f64::from(percent) / 100.0;
        Self {
            drain: millis(or(pool.drain_ms, DEFAULT_DRAIN_MS)),
            max_bandwidth_share: share(or(
                pool.bandwidth_ceiling_percent,
                DEFAULT_BANDWIDTH_LIMIT_PERCENT,
            )),
            transition_budget: share(or(
                pool.transition_budget_percent,
                DEFAULT_TRANSITION_BUDGET_PERCENT,
            )),
            longest_deferral: millis(or(pool.longest_deferral_ms, DEFAULT_LONGEST_DEFERRAL_MS)),
        }
    }
}
