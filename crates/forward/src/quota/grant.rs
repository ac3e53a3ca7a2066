//! An owner's decision on one request.

use millford_core::Duration;

/// What the owner decided, and what it estimates of the tenant's bucket then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// The request was admitted and charged; otherwise the time until something is left.
    pub decision: Result<(), Duration>,
    /// What is left in the whole fleet, in tokens.
    pub level_tokens: i64,
    /// What the whole fleet admitted lately, in tokens a second.
    pub admitted_per_second: u64,
}
