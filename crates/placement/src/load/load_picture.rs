//! What all nodes together have in flight.

use std::collections::BTreeMap;

use millford_api::internal::ReplicaLoad;
use millford_core::{Duration, MonotonicTime};

use crate::load::replica_work::ReplicaWork;
use crate::replica_key::ReplicaKey;

/// The last report of each member, aged out when the member falls silent.
#[derive(Clone, Debug)]
pub struct LoadPicture {
    stale_after: Duration,
    members: BTreeMap<String, MemberReport>,
}

#[derive(Clone, Debug)]
struct MemberReport {
    at: MonotonicTime,
    work: BTreeMap<ReplicaKey, ReplicaWork>,
}

impl LoadPicture {
    /// An empty picture; a member's report counts for `stale_after`.
    #[must_use]
    pub fn new(stale_after: Duration) -> Self {
        Self {
            stale_after,
            members: BTreeMap::new(),
        }
    }

    /// Replaces a member's report: it is a whole, not a difference.
    pub fn observe(&mut self, now: MonotonicTime, member: &str, loads: &[ReplicaLoad]) {
        let mut work: BTreeMap<ReplicaKey, ReplicaWork> = BTreeMap::new();
        for load in loads {
            work.entry(load.into()).or_default().add(&load.into());
        }
        let report = MemberReport { at: now, work };
        self.members.insert(member.to_owned(), report);
    }

    /// Forgets members that have been silent for too long.
    pub fn expire(&mut self, now: MonotonicTime) {
        let stale_after = self.stale_after;
        self.members
            .retain(|_, report| now.since(report.at) <= stale_after);
    }

    /// Sums over the members that are not stale at `now`.
    #[must_use]
    pub fn totals(&self, now: MonotonicTime) -> BTreeMap<ReplicaKey, ReplicaWork> {
        let mut totals: BTreeMap<ReplicaKey, ReplicaWork> = BTreeMap::new();
        for report in self.members.values() {
            if now.since(report.at) > self.stale_after {
                continue;
            }
            for (key, work) in &report.work {
                totals.entry(key.clone()).or_default().add(work);
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
