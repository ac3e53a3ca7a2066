//! Decisions on the proxy's quota requests.

use millford_core::{MonotonicTime, ResultCode};

use crate::quota::waiter::Waiter;

/// Decision on one quota request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaDecision {
    /// Id that the proxy gave to its quota request.
    pub request_id: u64,
    /// `Ok`, or why the request is refused.
    pub code: ResultCode,
    /// When another request may succeed, in milliseconds from now; 0 when unknown.
    pub retry_after_ms: u32,
    /// How long a grant may be used, in milliseconds from when the proxy sent its quota request; 0
    /// with a refusal.
    pub use_within_ms: u32,
}

impl QuotaDecision {
    /// A grant that may be used until `expires_at`.
    ///
    /// Safety: the limit is passed on as a time since the quota request, which the proxy sent before
    /// it arrived here. So it ends at the proxy before it ends here, whichever of the two processes
    /// is stalled in between.
    #[must_use]
    pub fn granted(waiter: &Waiter, expires_at: MonotonicTime) -> Self {
        let within = expires_at.since(waiter.arrived).as_millis();
        Self {
            request_id: waiter.request_id,
            code: ResultCode::Ok,
            retry_after_ms: 0,
            // 0 would stand for a grant without limit.
            use_within_ms: u32::try_from(within).unwrap_or(u32::MAX).max(1),
        }
    }

    /// A refusal.
    #[must_use]
    pub fn refused(waiter: &Waiter, code: ResultCode, retry_after_ms: u32) -> Self {
        Self {
            request_id: waiter.request_id,
            code,
            retry_after_ms,
            use_within_ms: 0,
        }
    }
}
