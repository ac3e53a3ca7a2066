//! Traffic of callers and operators.

use std::time::Duration;

/// Rates and shares of the traffic of callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Workload {
    /// Model requests per second, over all proxy nodes.
    pub requests_per_second: u32,
    /// Lookups per second, over all proxy nodes.
    pub lookups_per_second: u32,
    /// Share of model requests that are not repeatable and carry an idempotency key, in percent.
    pub keyed_percent: u32,
    /// Share of model requests that are not repeatable and carry no idempotency key, in percent.
    pub unkeyed_percent: u32,
    /// Probability that a caller sends a failed or refused request again, in percent.
    pub resend_percent: u32,
    /// Time between two orders of operators; zero for no further order after the first.
    pub order_every: Duration,
    /// Rate of each tenant's quota, in requests per second.
    pub quota_per_second: u32,
    /// Burst of each tenant's quota, in requests.
    pub quota_burst: u32,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            requests_per_second: 8,
            lookups_per_second: 20,
            keyed_percent: 30,
            unkeyed_percent: 10,
            resend_percent: 70,
            order_every: Duration::from_secs(5),
            quota_per_second: 20,
            quota_burst: 20,
        }
    }
}
