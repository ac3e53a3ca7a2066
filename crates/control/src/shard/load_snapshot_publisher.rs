//! Load snapshots on their way to the nodes: differences only, and at a bounded rate.

use std::collections::BTreeMap;

use millford_api::internal::ReplicaLoad;
use millford_core::{Duration, MonotonicTime};

use crate::timing::{LOAD_SNAPSHOT_PERIOD, LOAD_SNAPSHOT_PERIOD_SMALL};

/// Bytes a second that a shard's pictures may cost each node. With six data shards, pictures take
/// 3 of the 8 KB a second that a node has for control.
const BYTES_PER_SECOND: u64 = 512;

/// As [`BYTES_PER_SECOND`], at a small site: 4.5 of the 8 KB a second with six data shards.
const BYTES_PER_SECOND_SMALL: u64 = 768;

/// Most backends, and most nodes that report, of a small site.
const SMALL_SITE: usize = 16;

/// The full snapshot is sent again after this long, for nodes that joined since.
const FULL_SNAPSHOT_PERIOD: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReplicaLoadKey {
    backend_id: String,
    model: String,
    version: String,
}

#[derive(Debug, Default)]
struct Sent {
    loads: BTreeMap<ReplicaLoadKey, ReplicaLoad>,
    full_at: MonotonicTime,
}

/// What was sent last for each service.
#[derive(Debug, Default)]
pub struct LoadSnapshotPublisher {
    services: BTreeMap<String, Sent>,
    next: MonotonicTime,
    small: bool,
}

impl LoadSnapshotPublisher {
    /// Whether pictures are to be sent now.
    #[must_use]
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.next
    }

    /// The size of what the shard's pictures are about. The gain of fresh pictures is lost within
    /// half a second, and where there is little to say they may come sooner.
    pub fn set_site(&mut self, backends: usize, nodes: usize) {
        self.small = backends <= SMALL_SITE && nodes <= SMALL_SITE;
    }

    /// Pictures of this size were sent. Large ones are sent more rarely, so that a node's share of
    /// control traffic stays bounded; between them nodes go by their own counts.
    pub fn sent(&mut self, now: MonotonicTime, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let (rate, period) = if self.small {
            (BYTES_PER_SECOND_SMALL, LOAD_SNAPSHOT_PERIOD_SMALL)
        } else {
            (BYTES_PER_SECOND, LOAD_SNAPSHOT_PERIOD)
        };
        let paced = Duration::from_millis(bytes.saturating_mul(1000) / rate);
        self.next = now + paced.max(period);
    }

    /// The loads that changed since the last snapshot. A replica that is removed from it is
    /// listed once more, as idle.
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
        let full = now.since(sent.full_at) >= FULL_SNAPSHOT_PERIOD;
        if full {
            sent.full_at = now;
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
