//! One tenant's token bucket over the whole fleet, as one node estimates it.

use millford_api::config::TokenQuota;
use millford_core::{Duration, MonotonicTime};

/// Debt never exceeds this many bursts: whatever a peer reports must not shut a tenant out for long.
/// What nodes admit at the same time stays far below it, and must not be forgiven: a tenant that keeps
/// sending more than its quota would exceed it by that again and again.
const MAX_DEBT_BURSTS: f64 = 4.0;

/// Debt from a request itself never exceeds what the rate gives in this time: its size is what the caller
/// says, and an absurd one must not shut a tenant out for good.
const MAX_OWN_DEBT_S: f64 = 60.0;

/// What a node counts is a little more than what runs: requests that end before they run, and counts
/// that cross on their way. A tenant under its quota must not be refused for it.
const RATE_HEADROOM: f64 = 1.01;
/// As [`RATE_HEADROOM`], for the burst.
const BURST_HEADROOM: f64 = 1.1;

/// What the bucket holds beyond the burst, as seconds of the rate. A quota is meant over several
/// seconds; a bucket of the bare burst refuses a tenant that is well under it whenever its requests
/// come a little closer together.
const PEAK_S: f64 = 0.25;

/// Share of the difference to a peer's estimate by which this node's moves with each of its messages.
const AGREEMENT_SHARE: f64 = 1.0 / 64.0;

/// A peer whose estimate differs by more than this share of a burst has not received from the others, or
/// this node has not: there is nothing to agree on.
const AGREEMENT_RANGE: f64 = 0.5;

/// A bucket that may be in debt: a request is admitted while anything is left, whatever its size, so
/// that large requests are not refused more often than small ones. Over any span the admitted
/// tokens exceed rate and burst by at most one request and what peers had not reported yet.
#[derive(Clone, Debug)]
pub struct ClusterBucket {
    figures: BucketFigures,
    level: f64,
    updated: MonotonicTime,
}

impl ClusterBucket {
    /// A full bucket.
    #[must_use]
    pub fn new(quota: &TokenQuota, now: MonotonicTime) -> Self {
        let figures = BucketFigures::of(quota);
        Self {
            figures,
            level: figures.burst,
            updated: now,
        }
    }

    /// Applies a changed quota. What is left stays, up to the new burst.
    pub fn set_quota(&mut self, quota: &TokenQuota, now: MonotonicTime) {
        self.refill(now);
        self.figures = BucketFigures::of(quota);
        self.level = self.level.min(self.figures.burst);
    }

    /// Admits a request of this many tokens, or says when to come back.
    ///
    /// # Errors
    /// The time until something is left.
    pub fn admit(&mut self, now: MonotonicTime, tokens: u64) -> Result<(), Duration> {
        self.refill(now);
        if self.level > 0.0 {
            let floor = -(self.figures.rate * MAX_OWN_DEBT_S).max(self.max_reported_debt());
            self.level = (self.level - tokens as f64).max(floor);
            return Ok(());
        }
        Err(self.figures.wait(self.level))
    }

    /// Puts back what a request took that was never sent to a backend.
    pub fn refund(&mut self, now: MonotonicTime, tokens: u64) {
        self.refill(now);
        self.level = (self.level + tokens as f64).min(self.figures.burst);
    }

    /// Takes out what peers admitted, or puts back what was wrongly assumed of them.
    pub fn charge(&mut self, now: MonotonicTime, tokens: f64) {
        self.refill(now);
        let floor = self.level.min(-self.max_reported_debt());
        self.level = (self.level - tokens).clamp(floor, self.figures.burst);
    }

    /// Adopts a peer's level if it is lower: for a node that has just started.
    pub fn lower_to(&mut self, now: MonotonicTime, level: f64) {
        self.refill(now);
        self.level = self.level.min(level.max(-self.max_reported_debt()));
    }

    /// Moves a little towards what a peer estimates to be left.
    ///
    /// Counts that cross on their way, or are refunded, leave nodes with estimates that differ for
    /// as long as the bucket does not fill up. While a tenant sends more than its quota, the node with the
    /// highest estimate would admit nearly all of its requests, and the others nearly none.
    pub fn agree(&mut self, now: MonotonicTime, peer_level: f64) {
        self.refill(now);
        let difference = peer_level - self.level;
        if difference.abs() <= self.figures.burst * AGREEMENT_RANGE {
            self.level += difference * AGREEMENT_SHARE;
        }
    }

    /// Most tokens that a peer can be assumed to admit in a second.
    #[must_use]
    pub fn max_rate(&self) -> f64 {
        self.figures.rate
    }

    /// What is left now.
    pub fn level(&mut self, now: MonotonicTime) -> f64 {
        self.refill(now);
        self.level
    }

    /// Whether less than this share of a burst is left.
    pub fn is_below(&mut self, now: MonotonicTime, share: f64) -> bool {
        self.level(now) < self.figures.burst * share
    }

    fn max_reported_debt(&self) -> f64 {
        self.figures.burst * MAX_DEBT_BURSTS
    }

    fn refill(&mut self, now: MonotonicTime) {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        self.level = (self.level + passed * self.figures.rate).min(self.figures.burst);
    }
}

/// Rate and size of a bucket, with what a node keeps beyond the tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct BucketFigures {
    /// Tokens a second; not 0, so that every wait has an end.
    pub rate: f64,
    /// Most that is left, in tokens; not 0.
    pub burst: f64,
}

impl BucketFigures {
    /// The figures for a tenant's quota.
    #[must_use]
    pub fn of(quota: &TokenQuota) -> Self {
        let rate = quota.tokens_per_second.max(1) as f64;
        let burst = if quota.burst == 0 {
            rate
        } else {
            quota.burst as f64
        };
        Self {
            rate: rate * RATE_HEADROOM,
            burst: burst * BURST_HEADROOM + rate * PEAK_S,
        }
    }

    /// How long a bucket with `level` left, 0 or less, takes to hold anything.
    #[must_use]
    pub fn wait(&self, level: f64) -> Duration {
        Duration::from_secs_f64((1.0 - level) / self.rate)
    }
}
