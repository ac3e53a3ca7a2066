//! Answers to waiting calls.

use millford_core::ResultCode;

use crate::quota::waiter::Waiter;

/// Answer to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceAnswer {
    /// Number that the proxy gave to its ask.
    pub request_id: u64,
    /// `Ok`, or why the call is refused.
    pub code: ResultCode,
    /// When asking again may help.
    pub retry_after_ms: u32,
}

impl SliceAnswer {
    /// The answer to one waiting call.
    #[must_use]
    pub fn to(waiter: &Waiter, code: ResultCode, retry_after_ms: u32) -> Self {
        Self {
            request_id: waiter.request_id,
            code,
            retry_after_ms,
        }
    }
}
