//! Counts of answered asks.

/// How many asks were answered in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaTally {
    /// Granted.
    pub granted: u64,
    /// Refused: the quota is used up.
    pub refused: u64,
    /// Refused: no decision in time.
    pub unavailable: u64,
}
