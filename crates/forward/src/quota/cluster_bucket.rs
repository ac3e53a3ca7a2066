//! One node's estimate of a tenant's token bucket, which the whole fleet shares.

use millford_api::config::TokenQuota;
use millford_core::{Duration, MonotonicTime};

/// Largest debt that reports from peers can cause, in bursts, so that no report can block a tenant for long.
/// The limit is far above what the nodes admit at the same time. That must be charged completely: otherwise a
/// tenant that keeps sending more than its quota would exceed the quota by the excess again and again.
const MAX_DEBT_BURSTS: f64 = 4.0;

/// Largest debt that requests of the tenant itself can cause, as seconds of the rate. The caller declares the
/// size of a request, and an excessive one must not block the tenant indefinitely.
const MAX_OWN_DEBT_S: f64 = 60.0;

/// Factor on the quota's rate. A node counts slightly more tokens than run, because of requests that end before
/// they run and of reports that cross in transit; a tenant under its quota must not be refused because of that.
const RATE_HEADROOM: f64 = 1.01;
/// Factor on the quota's burst, for the reason given at [`RATE_HEADROOM`].
const BURST_HEADROOM: f64 = 1.1;

/// Capacity of the bucket beyond the burst, as seconds of the rate. A quota is meant to hold over several
/// seconds; a bucket of only the burst would refuse a tenant well under its quota whenever its requests arrive a
/// little closer together.
const PEAK_HEADROOM_S: f64 = 0.25;

/// Share of the difference from a peer's estimate by which this node's estimate moves with each message of that
/// peer.
const CONVERGENCE_SHARE: f64 = 1.0 / 64.0;

/// Largest difference, as a share of the burst, at which this node's estimate moves towards a peer's. A larger
/// one means that the peer or this node did not receive the others' reports, so that the estimates do not compare.
const CONVERGENCE_RANGE: f64 = 0.5;

/// A token bucket whose level may become negative. A request of any size is admitted while the level is above 0,
/// so that large requests are not refused more often than small ones. Over any time span the admitted tokens
/// exceed rate and burst by at most one request and what the peers had not reported yet.
#[derive(Clone, Debug)]
pub struct ClusterBucket {
    parameters: BucketParameters,
    /// Tokens left at `updated`.
    level: f64,
    updated: MonotonicTime,
}

impl ClusterBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(quota: &TokenQuota, now: MonotonicTime) -> Self {
        let parameters = BucketParameters::of(quota);
        Self {
            parameters,
            level: parameters.burst,
            updated: now,
        }
    }

    /// Applies a changed quota. The level is kept, up to the new capacity.
    pub fn set_quota(&mut self, quota: &TokenQuota, now: MonotonicTime) {
        self.refill(now);
        self.parameters = BucketParameters::of(quota);
        self.level = self.level.min(self.parameters.burst);
    }

    /// Admits and charges a request of this many tokens.
    ///
    /// # Errors
    /// Returns the time until the bucket admits requests again.
    pub fn admit(&mut self, now: MonotonicTime, tokens: u64) -> Result<(), Duration> {
        self.refill(now);
        if self.level > 0.0 {
            let floor = -(self.parameters.rate * MAX_OWN_DEBT_S).max(self.max_reported_debt());
            self.level = (self.level - tokens as f64).max(floor);
            return Ok(());
        }
        Err(self.parameters.wait(self.level))
    }

    /// Credits the tokens of a request that did not run back to the bucket.
    pub fn refund(&mut self, now: MonotonicTime, tokens: u64) {
        self.refill(now);
        self.level = (self.level + tokens as f64).min(self.parameters.burst);
    }

    /// Charges tokens that peers admitted. A negative number credits tokens back that were wrongly assumed for them.
    pub fn charge(&mut self, now: MonotonicTime, tokens: f64) {
        self.refill(now);
        let floor = self.level.min(-self.max_reported_debt());
        self.level = (self.level - tokens).clamp(floor, self.parameters.burst);
    }

    /// Adopts a peer's level if it is lower than this node's.
    pub fn lower_to(&mut self, now: MonotonicTime, level: f64) {
        self.refill(now);
        self.level = self.level.min(level.max(-self.max_reported_debt()));
    }

    /// Moves the level by a small step towards a peer's estimate.
    ///
    /// Reports that cross in transit, and refunds, make the nodes' estimates differ until the bucket is full
    /// again. While a tenant sends more than its quota, the node with the highest estimate would admit nearly all
    /// of its requests, and the other nodes nearly none.
    pub fn converge_towards(&mut self, now: MonotonicTime, peer_level: f64) {
        self.refill(now);
        let difference = peer_level - self.level;
        if difference.abs() <= self.parameters.burst * CONVERGENCE_RANGE {
            self.level += difference * CONVERGENCE_SHARE;
        }
    }

    /// Returns the highest admission rate that is assumed for a peer, in tokens per second.
    #[must_use]
    pub fn max_rate(&self) -> f64 {
        self.parameters.rate
    }

    /// Returns the tokens left now; less than 0 if the bucket is in debt.
    pub fn level(&mut self, now: MonotonicTime) -> f64 {
        self.refill(now);
        self.level
    }

    /// Whether the level is below this share of the capacity.
    pub fn is_below(&mut self, now: MonotonicTime, share: f64) -> bool {
        self.level(now) < self.parameters.burst * share
    }

    fn max_reported_debt(&self) -> f64 {
        self.parameters.burst * MAX_DEBT_BURSTS
    }

    fn refill(&mut self, now: MonotonicTime) {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        self.level = (self.level + passed * self.parameters.rate).min(self.parameters.burst);
    }
}

/// Refill rate and capacity of a bucket: rate and burst of the tenant's quota, plus a headroom.
#[derive(Clone, Copy, Debug)]
pub struct BucketParameters {
    /// Refill rate, in tokens per second; above 0, so that every wait is finite.
    pub rate: f64,
    /// Capacity, in tokens; above 0.
    pub burst: f64,
}

impl BucketParameters {
    /// Computes the parameters for a tenant's quota.
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
            burst: burst * BURST_HEADROOM + rate * PEAK_HEADROOM_S,
        }
    }

    /// Returns the time until a bucket at `level`, which is 0 or less, holds one token.
    #[must_use]
    pub fn wait(&self, level: f64) -> Duration {
        Duration::from_secs_f64((1.0 - level) / self.rate)
    }
}
