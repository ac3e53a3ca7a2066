//! Quota tokens granted by a shard's leader.

use millford_core::MonotonicTime;

/// Quota tokens with an expiry time. Each token allows one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenLease {
    /// Number of unspent tokens.
    pub tokens: u32,
    /// End of the lease. Its duration counts from when the request was sent, so that it expires
    /// here before the leader counts the tokens as returned.
    pub expires_at: MonotonicTime,
}
