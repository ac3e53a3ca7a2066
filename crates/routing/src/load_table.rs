//! Work in flight per replica, in shards with one lock each.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

use millford_api::internal::{CostSample, LoadReport, LoadSnapshot};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::cost_estimates::CostEstimates;
use crate::lock::lock;
use crate::replica_key::ReplicaKey;
use crate::replica_load::{ReplicaCounts, ReplicaEntry};

/// Number of shards of the table; a power of two.
const TABLE_SHARDS: usize = 16;

type TableShard = BTreeMap<ReplicaKey, ReplicaEntry>;

/// Counts of the work in flight of this node, and of the other nodes as they reported it.
///
/// [`LoadTable::start`] (in [`crate::in_flight_guard`]) counts a request.
#[derive(Debug)]
pub struct LoadTable {
    shards: Vec<Mutex<TableShard>>,
    /// Whether the other nodes' counts come from the nodes themselves instead of load snapshots.
    follows_peers: AtomicBool,
    /// Backends on which this node's own work changed since the last [`Self::take_changed`].
    changed: Mutex<BTreeSet<String>>,
    /// Signals that `changed` has a new entry.
    change: Notify,
}

impl Default for LoadTable {
    fn default() -> Self {
        let shards = (0..TABLE_SHARDS).map(|_| Mutex::default());
        Self {
            shards: shards.collect(),
            follows_peers: AtomicBool::new(false),
            changed: Mutex::default(),
            change: Notify::new(),
        }
    }
}

impl LoadTable {
    /// Returns the counts of one replica, summed over all nodes.
    #[must_use]
    pub fn counts(&self, key: &ReplicaKey) -> ReplicaCounts {
        let shard = self.shard_of(&key.backend_id);
        shard
            .get(key)
            .map(ReplicaEntry::all_nodes)
            .unwrap_or_default()
    }

    /// Estimates the processor time in flight on a backend divided by its number of cores, in
    /// milliseconds.
    ///
    /// The work of each model is weighted by the cost estimates of that model.
    #[must_use]
    pub fn backend_load(&self, backend_id: &str, cores: u32, costs: &CostEstimates) -> f64 {
        let shard = self.shard_of(backend_id);
        let work: f64 = entries_of(&shard, backend_id)
            .map(|(key, entry)| {
                let counts = entry.all_nodes();
                let streams = counts.decode_streams.saturating_add(counts.held_requests);
                costs.work_ms(&key.model, counts.prefill_tokens, streams)
            })
            .sum();
        work / f64::from(cores.max(1))
    }

    /// Adds a cost sample to the next report to the placement role.
    pub fn add_sample(&self, key: &ReplicaKey, sample: CostSample) {
        self.change(key, |entry| entry.add_sample(sample));
    }

    /// Counts a failed request for the next report.
    pub fn add_failure(&self, key: &ReplicaKey) {
        self.change(key, ReplicaEntry::add_failure);
    }

    /// Returns one report per pool with the replicas that changed since the last call. Unchanged work in
    /// flight is repeated at longer intervals.
    #[must_use]
    pub fn take_reports(&self) -> Vec<LoadReport> {
        let mut reports: BTreeMap<String, LoadReport> = BTreeMap::new();
        for shard in &self.shards {
            let mut shard = lock(shard);
            for (key, entry) in shard.iter_mut() {
                let Some(load) = entry.take_report(key) else {
                    continue;
                };
                let report = reports.entry(key.pool.clone()).or_default();
                report.service.clone_from(&key.pool);
                report.loads.push(load);
            }
            shard.retain(|_, entry| entry.is_in_use());
        }
        reports.into_values().collect()
    }

    /// Takes the other nodes' counts only from [`Self::set_others`] from now on, because they are more
    /// recent than those in the control plane's load snapshots.
    pub fn follow_peers(&self) {
        self.follows_peers.store(true, Ordering::Relaxed);
    }

    /// Sets the other nodes' work in flight on a backend. A replica that is not listed has none.
    pub fn set_others(&self, backend_id: &str, others: &BTreeMap<ReplicaKey, ReplicaCounts>) {
        let mut shard = self.shard_of(backend_id);
        let known = shard
            .range_mut(first_key(backend_id)..)
            .take_while(|(key, _)| key.backend_id == backend_id);
        for (key, entry) in known {
            entry.others = others.get(key).copied().unwrap_or_default();
        }
        for (key, counts) in others {
            shard.entry(key.clone()).or_default().others = *counts;
        }
    }

    /// Returns this node's own work in flight on a backend, without idle replicas.
    #[must_use]
    pub fn own_work_on(&self, backend_id: &str) -> Vec<(ReplicaKey, ReplicaCounts)> {
        let shard = self.shard_of(backend_id);
        let busy = entries_of(&shard, backend_id).filter(|(_, entry)| !entry.own.is_idle());
        busy.map(|(key, entry)| (key.clone(), entry.own)).collect()
    }

    /// Returns the backends on which this node has work in flight.
    #[must_use]
    pub fn busy_backends(&self) -> BTreeSet<String> {
        let mut ids = BTreeSet::new();
        for shard in &self.shards {
            let shard = lock(shard);
            let busy = shard.iter().filter(|(_, entry)| !entry.own.is_idle());
            ids.extend(busy.map(|(key, _)| key.backend_id.clone()));
        }
        ids
    }

    /// Returns the backends on which this node's own work changed since the last call. Changes are
    /// recorded only after [`Self::follow_peers`].
    #[must_use]
    pub fn take_changed(&self) -> BTreeSet<String> {
        std::mem::take(&mut *lock(&self.changed))
    }

    /// Waits until this node's own work changes. Changes before [`Self::follow_peers`] are not signalled.
    pub async fn until_changed(&self) {
        self.change.notified().await;
    }

    /// Applies a snapshot of the work in flight of all nodes. This node's last report is included in it
    /// and is subtracted. Ignored after [`Self::follow_peers`].
    pub fn merge_snapshot(&self, snapshot: &LoadSnapshot) {
        if self.follows_peers.load(Ordering::Relaxed) {
            return;
        }
        for load in &snapshot.loads {
            let key = ReplicaKey {
                pool: snapshot.service.clone(),
                backend_id: load.backend_id.clone(),
                model: load.model.clone(),
                version: load.version.clone(),
            };
            self.change(&key, |entry| {
                entry.others = ReplicaCounts::from(load).saturating_sub(entry.reported);
            });
        }
    }

    /// Changes this node's own counts of one replica.
    pub(crate) fn change_own(&self, key: &ReplicaKey, change: impl FnOnce(&mut ReplicaCounts)) {
        self.change(key, |entry| change(&mut entry.own));
        if !self.follows_peers.load(Ordering::Relaxed) {
            return;
        }
        lock(&self.changed).insert(key.backend_id.clone());
        self.change.notify_one();
    }

    fn change(&self, key: &ReplicaKey, change: impl FnOnce(&mut ReplicaEntry)) {
        let mut shard = self.shard_of(&key.backend_id);
        change(shard.entry(key.clone()).or_default());
    }

    fn shard_of(&self, backend_id: &str) -> MutexGuard<'_, TableShard> {
        let slot = xxh3_64(backend_id.as_bytes()) as usize % TABLE_SHARDS;
        lock(&self.shards[slot])
    }
}

/// Returns the entries of one backend, in the order of their keys.
fn entries_of<'a>(
    shard: &'a TableShard,
    backend_id: &'a str,
) -> impl Iterator<Item = (&'a ReplicaKey, &'a ReplicaEntry)> {
    shard
        .range(first_key(backend_id)..)
        .take_while(move |(key, _)| key.backend_id == backend_id)
}

/// Returns the key that sorts before those of all replicas of the backend.
fn first_key(backend_id: &str) -> ReplicaKey {
    ReplicaKey {
        backend_id: backend_id.to_owned(),
        ..ReplicaKey::default()
    }
}
