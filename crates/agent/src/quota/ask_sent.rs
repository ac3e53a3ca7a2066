//! The sending of an ask.

use millford_core::MonotonicTime;

/// When an ask was sent, and in which request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskSent {
    /// When it was first sent.
    pub at: MonotonicTime,
    /// Number of the request.
    pub request_id: u64,
}
