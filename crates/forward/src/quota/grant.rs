//! An owner's decision on one admission request.

use millford_core::Duration;

/// An owner's decision, with its estimate of the tenant's bucket after the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// `Ok` if the request was admitted and charged, or else the time until the bucket admits requests again.
    pub decision: Result<(), Duration>,
    /// Tokens left for the whole fleet; less than 0 if the bucket is in debt.
    pub level_tokens: i64,
    /// Recent admission rate of the whole fleet, in tokens per second.
    pub admitted_per_second: u64,
}
