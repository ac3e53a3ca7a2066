//! Parameters and counters of the traffic that simulated proxies generate.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Mean output tokens per request: 260,000 tokens per second over 1,200 requests per second.
const TOKENS_PER_REQUEST: f64 = 260_000.0 / 1_200.0;

/// Time between two tokens of a stream, in seconds. This is the planned upper bound, which makes streams as
/// long as they may get.
const SECONDS_PER_TOKEN: f64 = 0.066;

/// Mean duration of a stream at the planned load, in seconds: 14.3.
pub const MEAN_STREAM_SECONDS: f64 = TOKENS_PER_REQUEST * SECONDS_PER_TOKEN;

/// Share of the requests that need a claim because they carry an idempotency key on a route whose requests may
/// not be repeated. An assumption, since the planned load does not specify it.
pub const CLAIMED_SHARE: f64 = 0.1;

/// Timeout of a simulated proxy's quota requests and claims.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Parameters of the traffic of one simulated proxy.
#[derive(Clone, Copy, Debug)]
pub struct TrafficShape {
    /// Mean number of requests per second.
    pub requests_per_second: f64,
    /// Number of tenants to draw from.
    pub tenants: u32,
    /// Number of backends to draw from.
    pub backends: u32,
    /// Seed of the proxy's random numbers.
    pub seed: u64,
}

impl TrafficShape {
    /// Returns the mean number of open streams under steady traffic.
    #[must_use]
    pub fn steady_streams(&self) -> f64 {
        self.requests_per_second * MEAN_STREAM_SECONDS
    }
}

/// Counters over all simulated proxies.
#[derive(Debug, Default)]
pub struct TrafficCounts {
    granted: AtomicU64,
    refused: AtomicU64,
    claims: AtomicU64,
    claims_failed: AtomicU64,
    quota_reply_ms: Mutex<Vec<f64>>,
}

impl TrafficCounts {
    /// Counts a reply to a quota request that arrived after `millis` milliseconds.
    pub fn record_quota_reply(&self, granted: bool, millis: f64) {
        let counter = if granted {
            &self.granted
        } else {
            &self.refused
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let mut times = self
            .quota_reply_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        times.push(millis);
    }

    /// Counts a reply to a claim.
    pub fn record_claim_reply(&self, granted: bool) {
        self.claims.fetch_add(1, Ordering::Relaxed);
        if !granted {
            self.claims_failed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of quota requests granted so far.
    #[must_use]
    pub fn granted(&self) -> u64 {
        self.granted.load(Ordering::Relaxed)
    }

    /// Returns the number of quota requests refused so far.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of claims answered so far, granted or not.
    #[must_use]
    pub fn claims(&self) -> u64 {
        self.claims.load(Ordering::Relaxed)
    }

    /// Returns the number of claims answered but not granted so far.
    #[must_use]
    pub fn claims_failed(&self) -> u64 {
        self.claims_failed.load(Ordering::Relaxed)
    }

    /// Returns and clears the times from quota request to reply since the last call, in milliseconds.
    #[must_use]
    pub fn take_quota_reply_ms(&self) -> Vec<f64> {
        let mut times = self
            .quota_reply_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut times)
    }
}
