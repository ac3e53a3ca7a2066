//! Work in flight over all nodes, from their reports.

use std::collections::BTreeMap;

use millford_api::internal::ReplicaLoad;
use millford_core::{Duration, MonotonicTime};

use crate::load::replica_work::ReplicaWork;
use crate::replica_key::ReplicaKey;

/// The last known counts of each member; each expires when it is not refreshed.
///
/// Members report what changed, and repeat what has not at longer intervals. A count that is reported as zero
/// stays as zero until it expires, so that readers of the snapshot learn that the work has ended.
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
    /// An empty snapshot; a reported count is valid for `stale_after`.
    #[must_use]
    pub fn new(stale_after: Duration) -> Self {
        Self {
            stale_after,
            members: BTreeMap::new(),
        }
    }

    /// Takes a member's counts; those that it does not list stay.
    pub fn observe(&mut self, now: MonotonicTime, member: &str, loads: &[ReplicaLoad]) {
        let counts = self.members.entry(member.to_owned()).or_default();
        for load in loads {
            let work = ReplicaWork::from(load);
            counts.insert(load.into(), ReportedWork { at: now, work });
        }
    }

    /// Number of members with valid counts.
    #[must_use]
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Forgets a member whose session has ended.
    pub fn forget(&mut self, member: &str) {
        self.members.remove(member);
    }

    /// Forgets counts that have not been refreshed for too long.
    pub fn expire(&mut self, now: MonotonicTime) {
        let stale_after = self.stale_after;
        for counts in self.members.values_mut() {
            counts.retain(|_, reported| now.since(reported.at) <= stale_after);
        }
        self.members.retain(|_, counts| !counts.is_empty());
    }

    /// Sums over the counts that are not stale at `now`.
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

    /// The sums as the message that goes back to the nodes.
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
