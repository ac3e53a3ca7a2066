//! Answers to waiting calls.

use millford_core::{MonotonicTime, ResultCode};

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
    /// How long a grant may be used, counted from when the call's ask was sent; 0 with a refusal.
    pub use_within_ms: u32,
}

impl SliceAnswer {
    /// A grant that may be used until a time.
    ///
    /// Safety: it is told as a time since the ask, which the proxy sent before it arrived here, so
    /// it ends at the proxy before it ends here, whichever of the two stands still in between.
    #[must_use]
    pub fn granted(waiter: &Waiter, until: MonotonicTime) -> Self {
        let within = until.since(waiter.arrived).as_millis();
        Self {
            request_id: waiter.request_id,
            code: ResultCode::Ok,
            retry_after_ms: 0,
            use_within_ms: u32::try_from(within).unwrap_or(u32::MAX).max(1),
        }
    }

    /// A refusal of one waiting call.
    #[must_use]
    pub fn to(waiter: &Waiter, code: ResultCode, retry_after_ms: u32) -> Self {
        Self {
            request_id: waiter.request_id,
            code,
            retry_after_ms,
            use_within_ms: 0,
        }
    }
}
