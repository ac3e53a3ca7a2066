//! Counts of answered quota requests.

/// How many of the proxy's quota requests were answered in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounts {
    /// Granted.
    pub granted: u64,
    /// Refused: the quota is used up.
    pub refused: u64,
    /// Refused: no decision in time.
    pub unavailable: u64,
}
