//! Limits of a pool, with defaults for those that its configuration does not set.

use millford_api::config::Pool;
use millford_core::Duration;

use crate::options::{
    DEFAULT_BANDWIDTH_LIMIT_PERCENT, DEFAULT_DRAIN_MS, DEFAULT_LONGEST_DEFERRAL_MS,
    DEFAULT_TRANSITION_BUDGET_PERCENT,
};

/// Limits of a pool, with defaults applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// Time after which a draining replica is removed even if it still has work in flight.
    pub drain: Duration,
    /// Highest used share of a backend's memory bandwidth, from 0 to 1.
    pub max_bandwidth_share: f64,
    /// Utilization up to which a transition may proceed, from 0 to 1.
    pub transition_budget: f64,
    /// Time after which the steps of a deferred transition are forced.
    pub longest_deferral: Duration,
}

impl From<&Pool> for PoolLimits {
    fn from(pool: &Pool) -> Self {
        let or_default = |value: u32, default: u32| if value == 0 { default } else { value };
        let millis = |value: u32| Duration::from_millis(u64::from(value));
        let share = |percent: u32| f64::from(percent) / 100.0;
        Self {
            drain: millis(or_default(pool.drain_ms, DEFAULT_DRAIN_MS)),
            max_bandwidth_share: share(or_default(
                pool.bandwidth_ceiling_percent,
                DEFAULT_BANDWIDTH_LIMIT_PERCENT,
            )),
            transition_budget: share(or_default(
                pool.transition_budget_percent,
                DEFAULT_TRANSITION_BUDGET_PERCENT,
            )),
            longest_deferral: millis(or_default(
                pool.longest_deferral_ms,
                DEFAULT_LONGEST_DEFERRAL_MS,
            )),
        }
    }
}
