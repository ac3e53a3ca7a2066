//! Decisions on the proxy's quota requests.

use millford_core::{MonotonicTime, ResultCode};

use crate::quota::waiter::Waiter;

/// Decision on one of the proxy's quota requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaDecision {
    /// Request id assigned by the proxy.
    pub request_id: u64,
    /// `Ok` for a grant, otherwise the reason for the refusal.
    pub code: ResultCode,
    /// Delay in milliseconds after which another request may succeed; 0 if unknown or granted.
    pub retry_after_ms: u32,
    /// Time during which a grant may be used, in milliseconds since the proxy sent its quota
    /// request; 0 for a refusal.
    pub use_within_ms: u32,
}

impl QuotaDecision {
    /// Creates a grant that may be used until `expires_at`.
    ///
    /// Safety: the limit is sent to the proxy as a duration since its quota request, which the
    /// proxy sent before it arrived here. The grant therefore expires at the proxy before it
    /// expires here, even if either process stalls in between.
    #[must_use]
    pub fn granted(waiter: &Waiter, expires_at: MonotonicTime) -> Self {
        let within = expires_at.since(waiter.arrived).as_millis();
        Self {
            request_id: waiter.request_id,
            code: ResultCode::Ok,
            retry_after_ms: 0,
            // At least 1, because 0 would mean a grant without a time limit.
            use_within_ms: u32::try_from(within).unwrap_or(u32::MAX).max(1),
        }
    }

    /// Creates a refusal; `retry_after_ms` is 0 if unknown.
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
