//! Detects shards whose core does not report: its thread waits for a stalled disk.

use std::collections::BTreeMap;

use millford_core::{MonotonicTime, ShardId};

use crate::timing::QUORUM_CONTACT_TIMEOUT;

/// When each core last reported its status, which a running one does several times a second.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_reports: BTreeMap<ShardId, MonotonicTime>,
    stalled: bool,
}

impl StallDetector {
    /// A core reported its status.
    pub fn record_report(&mut self, now: MonotonicTime, shard: ShardId) {
        self.last_reports.insert(shard, now);
    }

    /// Looks at the clock: a core whose last report is older than the quorum-contact timeout is
    /// stalled.
    pub fn tick(&mut self, now: MonotonicTime) {
        let mut last_reports = self.last_reports.values();
        self.stalled = last_reports.any(|last| now.since(*last) >= QUORUM_CONTACT_TIMEOUT);
    }

    /// Whether any core was stalled at the last tick.
    #[must_use]
    pub fn any_stalled(&self) -> bool {
        self.stalled
    }

    /// Every core was stopped.
    pub fn clear(&mut self) {
        self.last_reports.clear();
        self.stalled = false;
    }
}
