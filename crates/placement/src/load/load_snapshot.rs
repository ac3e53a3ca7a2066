//! Work in flight over all nodes, collected from their reports.

use std::collections::BTreeMap;

use millford_api::internal::ReplicaLoad;
use millford_core::{Duration, MonotonicTime};

use crate::load::replica_work::ReplicaWork;
use crate::replica_key::ReplicaKey;

/// Last reported counts of each member. A count expires when it is not refreshed.
///
/// Members report changed counts, and repeat unchanged ones at longer intervals. A count reported
/// as zero stays as zero until it expires, so that the snapshot that the nodes receive includes the
/// end of the work.
#[derive(Clone, Debug)]
pub struct LoadSnapshot {
    stale_after: Duration,
    members: BTreeMap<String, BTreeMap<ReplicaKey, ReportedWork>>,
}

#[derive(Clone, Copy, Debug)]
struct ReportedWork {
    at: MonotonicTime,
    work: ReplicaWork,
}

impl LoadSnapshot {
    /// Creates an empty snapshot. A reported count is valid for `stale_after`.
    #[must_use]
    pub fn new(stale_after: Duration) -> Self {
        Self {
            stale_after,
            members: BTreeMap::new(),
        }
    }

    /// Records the counts that a member reports; its other counts stay.
    pub fn observe(&mut self, now: MonotonicTime, member: &str, loads: &[ReplicaLoad]) {
        let counts = self.members.entry(member.to_owned()).or_default();
        for load in loads {
            let work = ReplicaWork::from(load);
            counts.insert(load.into(), ReportedWork { at: now, work });
        }
    }

    /// Returns the number of members with counts that were not removed by [`LoadSnapshot::expire`].
    #[must_use]
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Removes the counts of a member whose session has ended.
    pub fn forget(&mut self, member: &str) {
        self.members.remove(member);
    }

    /// Removes counts that are stale at `now`, and members without counts.
    pub fn expire(&mut self, now: MonotonicTime) {
        let stale_after = self.stale_after;
        for counts in self.members.values_mut() {
            counts.retain(|_, reported| now.since(reported.at) <= stale_after);
        }
        self.members.retain(|_, counts| !counts.is_empty());
    }

    /// Returns the sums over all members by replica, without counts that are stale at `now`.
    #[must_use]
    pub fn totals(&self, now: MonotonicTime) -> BTreeMap<ReplicaKey, ReplicaWork> {
        let mut totals: BTreeMap<ReplicaKey, ReplicaWork> = BTreeMap::new();
        for (key, reported) in self.members.values().flatten() {
            if now.since(reported.at) <= self.stale_after {
                totals.entry(key.clone()).or_default().add(&reported.work);
            }
        }
        totals
    }

    /// Returns the sums in the form in which they are sent to the nodes.
    #[must_use]
    pub fn to_loads(&self, now: MonotonicTime) -> Vec<ReplicaLoad> {
        self.totals(now)
            .into_iter()
            .map(|(key, work)| ReplicaLoad {
                backend_id: key.backend,
                model: key.model,
                version: key.version,
                prefill_tokens: work.prefill_tokens,
                decode_streams: work.decode_streams,
                held_requests: work.held_requests,
                failures: work.failures,
                samples: Vec::new(),
            })
            .collect()
    }
}
