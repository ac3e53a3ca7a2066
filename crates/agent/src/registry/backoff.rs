//! Interval between an agent's reads of the service registry.

use millford_core::{Duration, MonotonicTime};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::timing::{MAX_REGISTRY_READ_INTERVAL, MIN_REGISTRY_READ_INTERVAL};

/// Largest fraction by which jitter shortens an interval. The jitter is derived from the agent's
/// name, so that agents that lose the control plane at the same time do not read at the same time.
const JITTER: f64 = 0.5;

/// Backoff between reads: each success halves the interval, each failure doubles it.
///
/// A registry serves a limited number of requests per second for all nodes together. A single
/// disconnected agent reads often enough for a fast failover. When the whole fleet is disconnected,
/// most reads are refused, and without a backoff the agents would prevent each other from ever
/// reading a complete list.
#[derive(Clone, Debug)]
pub struct RegistryBackoff {
    member_hash: u64,
    reads: u64,
    interval: Duration,
    due_at: MonotonicTime,
}

impl RegistryBackoff {
    /// Creates the backoff of the node `member`; the first read is due immediately.
    #[must_use]
    pub fn new(member: &str, now: MonotonicTime) -> Self {
        Self {
            member_hash: xxh3_64_with_seed(member.as_bytes(), 0),
            reads: 0,
            interval: MIN_REGISTRY_READ_INTERVAL,
            due_at: now,
        }
    }

    /// Returns whether a read is due.
    #[must_use]
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.due_at
    }

    /// Records that a read was started, and schedules the next one.
    pub fn record_started(&mut self, now: MonotonicTime) {
        self.reads += 1;
        self.due_at = now + self.jittered_interval();
    }

    /// Records a successful read: halves the interval and schedules the next read.
    pub fn record_success(&mut self, now: MonotonicTime) {
        self.interval = (self.interval / 2).max(MIN_REGISTRY_READ_INTERVAL);
        self.due_at = now + self.jittered_interval();
    }

    /// Records a read that failed or timed out: doubles the interval and schedules the next read.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.interval = (self.interval * 2).min(MAX_REGISTRY_READ_INTERVAL);
        self.due_at = now + self.jittered_interval();
    }

    /// Returns the interval shortened by jitter. The shortest interval has no jitter, so that
    /// failover stays fast.
    fn jittered_interval(&self) -> Duration {
        if self.interval <= MIN_REGISTRY_READ_INTERVAL {
            return self.interval;
        }
        let random = xxh3_64_with_seed(&self.member_hash.to_le_bytes(), self.reads);
        let fraction = random as f64 / u64::MAX as f64;
        self.interval.mul_f64(1.0 - JITTER * fraction)
    }
}
