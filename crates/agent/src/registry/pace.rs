//! How often an agent that is out of touch reads the registry.

use millford_core::{Duration, MonotonicTime};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::timing::{REGISTRY_CEILING, REGISTRY_PERIOD};

/// Part of a pause that is drawn by the agent's name, so that agents which lost touch together do not
/// read together.
const SPREAD: f64 = 0.5;

/// Pauses between readings: short while they succeed, doubled with each that fails.
///
/// A registry takes so many calls a second from all nodes together. One agent that is cut off reads as
/// often as its failover needs; when the whole fleet is out of touch most readings are refused, and the
/// agents must not keep each other from ever reading a whole list.
#[derive(Clone, Debug)]
pub struct RegistryPace {
    agent: u64,
    readings: u64,
    pause: Duration,
    next: MonotonicTime,
}

impl RegistryPace {
    /// The pace of the agent of this node.
    #[must_use]
    pub fn new(member: &str, now: MonotonicTime) -> Self {
        Self {
            agent: xxh3_64_with_seed(member.as_bytes(), 0),
            readings: 0,
            pause: REGISTRY_PERIOD,
            next: now,
        }
    }

    /// Whether a reading is due.
    #[must_use]
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.next
    }

    /// A reading begins.
    pub fn begin(&mut self, now: MonotonicTime) {
        self.readings += 1;
        self.next = now + self.spread_pause();
    }

    /// The list came.
    pub fn succeeded(&mut self, now: MonotonicTime) {
        self.pause = (self.pause / 2).max(REGISTRY_PERIOD);
        self.next = now + self.spread_pause();
    }

    /// The registry refused, or did not answer.
    pub fn failed(&mut self, now: MonotonicTime) {
        self.pause = (self.pause * 2).min(REGISTRY_CEILING);
        self.next = now + self.spread_pause();
    }

    /// The pause; none but the shortest is the same for all agents.
    fn spread_pause(&self) -> Duration {
        if self.pause <= REGISTRY_PERIOD {
            return self.pause;
        }
        let drawn = xxh3_64_with_seed(&self.agent.to_le_bytes(), self.readings);
        let part = drawn as f64 / u64::MAX as f64;
        self.pause.mul_f64(1.0 - SPREAD * part)
    }
}
