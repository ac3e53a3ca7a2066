//! Tokens granted by a shard's leader.

use millford_core::MonotonicTime;

/// Tokens that may be spent until a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenLease {
    /// Tokens not spent yet.
    pub tokens: u32,
    /// End of the lease, counted from when the request was sent, so that it ends here before the
    /// leader takes the tokens back.
    pub expires_at: MonotonicTime,
}
