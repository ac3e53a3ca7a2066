//! What callers and operators send.

use std::time::Duration;

/// Rates and shares of the callers' traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Workload {
    /// Model requests a second, over all proxy nodes.
    pub requests_per_second: u32,
    /// Lookups a second.
    pub lookups_per_second: u32,
    /// Of a hundred model requests, how many carry an idempotency key and may not be repeated.
    pub keyed_percent: u32,
    /// Of a hundred model requests, how many may not be repeated and carry no key.
    pub unkeyed_percent: u32,
    /// Of a hundred requests that failed or were refused, how many are sent again.
    pub resend_percent: u32,
    /// Time between two orders; zero for none.
    pub order_every: Duration,
    /// Requests a second in each tenant's quota.
    pub quota_per_second: u32,
    /// Requests that a tenant may send at once.
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
