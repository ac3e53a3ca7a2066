//! Shape and counts of the traffic that a hollow proxy makes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Tokens that an average answer has: 260,000 a second over 1,200 requests a second.
const TOKENS_PER_REQUEST: f64 = 260_000.0 / 1_200.0;

/// Time between two tokens of a stream, in seconds; the planned bound, so streams last longest.
const SECONDS_PER_TOKEN: f64 = 0.066;

/// Mean length of a stream at the planned load: 14.3 seconds.
pub const MEAN_STREAM_SECONDS: f64 = TOKENS_PER_REQUEST * SECONDS_PER_TOKEN;

/// Share of the requests that carry an idempotency key on a route that may not be repeated.
/// Assumed: the plan does not say.
pub const CLAIMED_SHARE: f64 = 0.1;

/// Timeout of a hollow proxy's quota requests and claims.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// What a hollow proxy sends.
#[derive(Clone, Copy, Debug)]
pub struct TrafficShape {
    /// Requests a second.
    pub requests_per_second: f64,
    /// Tenants to draw from.
    pub tenants: u32,
    /// Backends to draw from.
    pub backends: u32,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl TrafficShape {
    /// Streams that are open at any time once the traffic is steady.
    #[must_use]
    pub fn steady_streams(&self) -> f64 {
        self.requests_per_second * MEAN_STREAM_SECONDS
    }
}

/// Counts over all hollow proxies.
#[derive(Debug, Default)]
pub struct TrafficCounts {
    granted: AtomicU64,
    refused: AtomicU64,
    claims: AtomicU64,
    claims_failed: AtomicU64,
    grant_ms: Mutex<Vec<f64>>,
}

impl TrafficCounts {
    /// Counts a reply to a quota request that took `millis` milliseconds.
    pub fn record_quota_reply(&self, granted: bool, millis: f64) {
        let counter = if granted {
            &self.granted
        } else {
            &self.refused
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let mut times = self.grant_ms.lock().unwrap_or_else(PoisonError::into_inner);
        times.push(millis);
    }

    /// Counts a reply to a claim.
    pub fn record_claim_reply(&self, granted: bool) {
        self.claims.fetch_add(1, Ordering::Relaxed);
        if !granted {
            self.claims_failed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Quota requests granted so far.
    #[must_use]
    pub fn granted(&self) -> u64 {
        self.granted.load(Ordering::Relaxed)
    }

    /// Quota requests refused so far.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Claims answered so far.
    #[must_use]
    pub fn claims(&self) -> u64 {
        self.claims.load(Ordering::Relaxed)
    }

    /// Claims not granted so far.
    #[must_use]
    pub fn claims_failed(&self) -> u64 {
        self.claims_failed.load(Ordering::Relaxed)
    }

    /// Times to a reply since the last call of this method, in milliseconds.
    #[must_use]
    pub fn take_grant_ms(&self) -> Vec<f64> {
        let mut times = self.grant_ms.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut times)
    }
}
