//! How often a disconnected agent reads the registry.

use millford_core::{Duration, MonotonicTime};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::timing::{MAX_REGISTRY_READ_INTERVAL, MIN_REGISTRY_READ_INTERVAL};

/// Largest share of an interval that jitter takes off. It is drawn from the agent's name, so that
/// agents which lost the control plane together do not read together.
const JITTER: f64 = 0.5;

/// Interval between reads: halved by each that succeeds, doubled by each that fails.
///
/// A registry serves only so many requests a second from all nodes together. One disconnected agent
/// reads as often as its failover needs; when the whole fleet is disconnected most reads are refused,
/// and the agents must not keep each other from ever reading a complete list.
#[derive(Clone, Debug)]
pub struct RegistryBackoff {
    member_hash: u64,
    reads: u64,
    interval: Duration,
    due_at: MonotonicTime,
}

impl RegistryBackoff {
    /// The backoff of the node `member`; the first read is due at once.
    #[must_use]
    pub fn new(member: &str, now: MonotonicTime) -> Self {
        Self {
            member_hash: xxh3_64_with_seed(member.as_bytes(), 0),
            reads: 0,
            interval: MIN_REGISTRY_READ_INTERVAL,
            due_at: now,
        }
    }

    /// Whether a read is due.
    #[must_use]
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.due_at
    }

    /// A read begins.
    pub fn record_started(&mut self, now: MonotonicTime) {
        self.reads += 1;
        self.due_at = now + self.jittered_interval();
    }

    /// The list arrived.
    pub fn record_success(&mut self, now: MonotonicTime) {
        self.interval = (self.interval / 2).max(MIN_REGISTRY_READ_INTERVAL);
        self.due_at = now + self.jittered_interval();
    }

    /// The registry refused, or did not answer.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.interval = (self.interval * 2).min(MAX_REGISTRY_READ_INTERVAL);
        self.due_at = now + self.jittered_interval();
    }

    /// The interval less its jitter; the shortest interval has none, so that failover stays fast.
    fn jittered_interval(&self) -> Duration {
        if self.interval <= MIN_REGISTRY_READ_INTERVAL {
            return self.interval;
        }
        let drawn = xxh3_64_with_seed(&self.member_hash.to_le_bytes(), self.reads);
        let fraction = drawn as f64 / u64::MAX as f64;
        self.interval.mul_f64(1.0 - JITTER * fraction)
    }
}
