//! Publishes load snapshots to the agents: only differences, and at a bounded rate.

use std::collections::BTreeMap;

use millford_api::internal::ReplicaLoad;
use millford_core::{Duration, MonotonicTime};

use crate::timing::{LOAD_SNAPSHOT_PERIOD, LOAD_SNAPSHOT_PERIOD_SMALL};

/// Bytes per second of load snapshots that a shard may send to each node. With six data shards,
/// load snapshots take 3 of the 8 KB/s that a node has for control traffic.
const BYTES_PER_SECOND: u64 = 512;

/// As [`BYTES_PER_SECOND`], for a small site: with six data shards, 4.5 of the 8 KB/s.
const BYTES_PER_SECOND_SMALL: u64 = 768;

/// A site counts as small if it has at most this many backends and at most this many nodes that
/// report load.
const SMALL_SITE_MAX: usize = 16;

/// Period of full snapshots, for nodes that joined since the last one.
const FULL_SNAPSHOT_PERIOD: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReplicaLoadKey {
    backend_id: String,
    model: String,
    version: String,
}

#[derive(Debug, Default)]
struct SentLoads {
    loads: BTreeMap<ReplicaLoadKey, ReplicaLoad>,
    full_sent_at: MonotonicTime,
}

/// The loads last sent for each service, and the time of the next snapshots.
#[derive(Debug, Default)]
pub struct LoadSnapshotPublisher {
    services: BTreeMap<String, SentLoads>,
    next_at: MonotonicTime,
    is_small_site: bool,
}

impl LoadSnapshotPublisher {
    /// Whether the next load snapshots are due.
    #[must_use]
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.next_at
    }

    /// Sets the number of backends and of reporting nodes. A small site gets snapshots more often:
    /// they are small there, and the benefit of a fresh snapshot is gone within half a second.
    pub fn set_site_size(&mut self, backends: usize, nodes: usize) {
        self.is_small_site = backends <= SMALL_SITE_MAX && nodes <= SMALL_SITE_MAX;
    }

    /// Records that snapshots of this total size, in bytes, were sent, and schedules the next ones.
    /// Large snapshots are sent less often, so that their share of a node's control traffic stays
    /// bounded; between snapshots the nodes rely on their own in-flight counts.
    pub fn record_sent(&mut self, now: MonotonicTime, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let (rate, period) = if self.is_small_site {
            (BYTES_PER_SECOND_SMALL, LOAD_SNAPSHOT_PERIOD_SMALL)
        } else {
            (BYTES_PER_SECOND, LOAD_SNAPSHOT_PERIOD)
        };
        let paced = Duration::from_millis(bytes.saturating_mul(1000) / rate);
        self.next_at = now + paced.max(period);
    }

    /// The loads that changed since the last snapshot, or all of them when a full snapshot is due.
    /// A replica that is no longer reported is listed once more, as idle.
    pub fn difference(
        &mut self,
        now: MonotonicTime,
        service: &str,
        loads: Vec<ReplicaLoad>,
    ) -> Vec<ReplicaLoad> {
        let sent = self.services.entry(service.to_owned()).or_default();
        let present: BTreeMap<ReplicaLoadKey, ReplicaLoad> = loads
            .into_iter()
            .map(|load| (key_of(&load), load))
            .collect();
        let removed = sent.loads.keys().filter(|key| !present.contains_key(*key));
        let mut difference: Vec<ReplicaLoad> = removed.map(idle).collect();
        let full = now.since(sent.full_sent_at) >= FULL_SNAPSHOT_PERIOD;
        if full {
            sent.full_sent_at = now;
        }
        let changed = present
            .iter()
            .filter(|(key, load)| full || sent.loads.get(key) != Some(*load));
        difference.extend(changed.map(|(_, load)| load.clone()));
        sent.loads = present;
        difference
    }
}

fn key_of(load: &ReplicaLoad) -> ReplicaLoadKey {
    ReplicaLoadKey {
        backend_id: load.backend_id.clone(),
        model: load.model.clone(),
        version: load.version.clone(),
    }
}

fn idle(key: &ReplicaLoadKey) -> ReplicaLoad {
    ReplicaLoad {
        backend_id: key.backend_id.clone(),
        model: key.model.clone(),
        version: key.version.clone(),
        ..ReplicaLoad::default()
    }
}
