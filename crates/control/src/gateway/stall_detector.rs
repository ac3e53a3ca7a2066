//! Detects shards whose core does not report, because its thread waits for a stalled disk.

use std::collections::BTreeMap;

use millford_core::{MonotonicTime, ShardId};

use crate::timing::QUORUM_CONTACT_TIMEOUT;

/// Time of each core's last status report. A running core reports several times a second.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_reports: BTreeMap<ShardId, MonotonicTime>,
    stalled: bool,
}

impl StallDetector {
    /// Records a status report of a core.
    pub fn record_report(&mut self, now: MonotonicTime, shard: ShardId) {
        self.last_reports.insert(shard, now);
    }

    /// Checks the age of each core's last report. A core counts as stalled when it is at least
    /// [`QUORUM_CONTACT_TIMEOUT`].
    pub fn tick(&mut self, now: MonotonicTime) {
        let mut last_reports = self.last_reports.values();
        self.stalled = last_reports.any(|last| now.since(*last) >= QUORUM_CONTACT_TIMEOUT);
    }

    /// Whether any core was stalled at the last tick.
    #[must_use]
    pub fn any_stalled(&self) -> bool {
        self.stalled
    }

    /// Forgets all cores, which were stopped.
    pub fn clear(&mut self) {
        self.last_reports.clear();
        self.stalled = false;
    }
}
