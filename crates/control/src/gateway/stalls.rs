//! Shards whose core is silent: its thread waits for a stalled disk.

use std::collections::BTreeMap;

use millford_core::{MonotonicTime, ShardId};

use crate::timing::OUT_OF_TOUCH;

/// When each core last told its standing, which a running one does several times a second.
#[derive(Debug, Default)]
pub struct Stalls {
    heard: BTreeMap<ShardId, MonotonicTime>,
    stalled: bool,
}

impl Stalls {
    /// A core told its standing, or starts now.
    pub fn heard(&mut self, now: MonotonicTime, shard: ShardId) {
        self.heard.insert(shard, now);
    }

    /// Looks at the clock.
    pub fn tick(&mut self, now: MonotonicTime) {
        let mut heard = self.heard.values();
        self.stalled = heard.any(|heard| now.since(*heard) >= OUT_OF_TOUCH);
    }

    /// Whether a core is silent.
    #[must_use]
    pub fn any(&self) -> bool {
        self.stalled
    }

    /// Every core was stopped.
    pub fn clear(&mut self) {
        self.heard.clear();
        self.stalled = false;
    }
}
