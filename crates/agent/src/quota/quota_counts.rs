//! Counters of answered quota requests.

/// Numbers of the proxy's quota requests by result, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounts {
    /// Requests that were granted.
    pub granted: u64,
    /// Requests that were refused because the tenant's rate or stream limit was exceeded.
    pub refused: u64,
    /// Requests that were refused because no decision arrived before their deadline.
    pub unavailable: u64,
}
