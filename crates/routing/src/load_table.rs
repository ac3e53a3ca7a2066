//! Work in flight per replica, in shards that each have their own lock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_api::internal::{CostSample, LoadReport, LoadSnapshot, ReplicaLoad};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::cost_estimates::CostEstimates;
use crate::in_flight_guard::InFlightGuard;
use crate::replica_key::ReplicaKey;

/// Number of shards; a power of two.
const BOARD_SHARDS: usize = 16;

/// Most cost samples kept per replica between two reports.
const MAX_SAMPLES: usize = 64;

/// Unchanged work in flight is reported again after this many reports without it: the placement role
/// forgets counts that are not refreshed for five seconds. Four reports a second make this three.
const REFRESH_AFTER_REPORTS: u32 = 12;

/// Counts of one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// Prompt tokens sent and not yet answered by a first piece.
    pub prefill_tokens: u64,
    /// Streams past their first piece.
    pub decode_streams: u32,
    /// Requests held open while the backend drains.
    pub held_requests: u32,
}

#[derive(Debug, Default)]
struct ReplicaEntry {
    own: ReplicaCounts,
    reported: ReplicaCounts,
    others: ReplicaCounts,
    samples: Vec<CostSample>,
    failures: u32,
    reports_without: u32,
}

type BoardShard = BTreeMap<ReplicaKey, ReplicaEntry>;

/// Counts of this node's work in flight, with what the other nodes reported.
#[derive(Debug)]
pub struct LoadTable {
    shards: Vec<Mutex<BoardShard>>,
    /// Whether the other nodes themselves tell what they have in flight.
    follows_peers: AtomicBool,
    /// Backends on which this node's own work changed since peers were told.
    changed: Mutex<BTreeSet<String>>,
    change: Notify,
}

impl Default for LoadTable {
    fn default() -> Self {
        let shards = (0..BOARD_SHARDS).map(|_| Mutex::default());
        Self {
            shards: shards.collect(),
            follows_peers: AtomicBool::new(false),
            changed: Mutex::default(),
            change: Notify::new(),
        }
    }
}

impl LoadTable {
    /// Counts a request with this many uncached prompt tokens until the ticket is dropped.
    #[must_use]
    pub fn start(self: &Arc<Self>, key: ReplicaKey, uncached_tokens: u64) -> InFlightGuard {
        self.change_own(&key, |own| own.prefill_tokens += uncached_tokens);
        InFlightGuard::new(Arc::clone(self), key, uncached_tokens)
    }

    /// Counts of one replica, all nodes together.
    #[must_use]
    pub fn counts(&self, key: &ReplicaKey) -> ReplicaCounts {
        let shard = self.lock(&key.backend_id);
        shard.get(key).map(all_nodes).unwrap_or_default()
    }

    /// Estimated processor time in flight on a backend over its cores, in milliseconds.
    ///
    /// Each model's work counts at that model's own cost.
    #[must_use]
    pub fn backend_load(&self, backend_id: &str, cores: u32, costs: &CostEstimates) -> f64 {
        let shard = self.lock(backend_id);
        let of_backend = shard
            .range(first_key(backend_id)..)
            .take_while(|(key, _)| key.backend_id == backend_id);
        let work: f64 = of_backend
            .map(|(key, entry)| {
                let counts = all_nodes(entry);
                let streams = counts.decode_streams.saturating_add(counts.held_requests);
                costs.work_ms(&key.model, counts.prefill_tokens, streams)
            })
            .sum();
        work / f64::from(cores.max(1))
    }

    /// Adds a sample for the cost fit of the placement role.
    pub fn add_sample(&self, key: &ReplicaKey, sample: CostSample) {
        self.change(key, |entry| {
            if entry.samples.len() < MAX_SAMPLES {
                entry.samples.push(sample);
            }
        });
    }

    /// Counts a failed request.
    pub fn add_failure(&self, key: &ReplicaKey) {
        self.change(key, |entry| entry.failures += 1);
    }

    /// Reports of the replicas that changed since the last call, one report a pool; unchanged work in flight
    /// is repeated at longer intervals.
    #[must_use]
    pub fn take_reports(&self) -> Vec<LoadReport> {
        let mut reports: BTreeMap<String, LoadReport> = BTreeMap::new();
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for (key, entry) in shard.iter_mut() {
                let Some(load) = take_load(key, entry) else {
                    continue;
                };
                let report = reports.entry(key.pool.clone()).or_default();
                report.service.clone_from(&key.pool);
                report.loads.push(load);
            }
            shard.retain(|_, entry| is_in_use(entry));
        }
        reports.into_values().collect()
    }

    /// From now on the other nodes' counts come from [`Self::set_others`] only: they are fresher
    /// there than in the pictures of the control plane.
    pub fn follow_peers(&self) {
        self.follows_peers.store(true, Ordering::Relaxed);
    }

    /// Sets what the other nodes have in flight on a backend; a replica that is not named is idle there.
    pub fn set_others(&self, backend_id: &str, others: &BTreeMap<ReplicaKey, ReplicaCounts>) {
        let mut shard = self.lock(backend_id);
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

    /// This node's own work in flight on a backend, idle replicas left out.
    #[must_use]
    pub fn own_work_on(&self, backend_id: &str) -> Vec<(ReplicaKey, ReplicaCounts)> {
        let shard = self.lock(backend_id);
        let of_backend = shard
            .range(first_key(backend_id)..)
            .take_while(|(key, _)| key.backend_id == backend_id);
        let busy = of_backend.filter(|(_, entry)| entry.own != ReplicaCounts::default());
        busy.map(|(key, entry)| (key.clone(), entry.own)).collect()
    }

    /// Backends on which this node has work in flight.
    #[must_use]
    pub fn busy_backends(&self) -> BTreeSet<String> {
        let mut ids = BTreeSet::new();
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            let busy = shard
                .iter()
                .filter(|(_, entry)| entry.own != ReplicaCounts::default());
            ids.extend(busy.map(|(key, _)| key.backend_id.clone()));
        }
        ids
    }

    /// Backends on which this node's own work changed since the last call.
    #[must_use]
    pub fn take_changed(&self) -> BTreeSet<String> {
        let mut changed = self.changed.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *changed)
    }

    /// Resolves once this node's own work changed.
    pub async fn until_changed(&self) {
        self.change.notified().await;
    }

    /// Takes in what all nodes together have in flight; this node's last report is part of it.
    pub fn merge_snapshot(&self, picture: &LoadSnapshot) {
        if self.follows_peers.load(Ordering::Relaxed) {
            return;
        }
        for load in &picture.loads {
            let key = ReplicaKey {
                pool: picture.service.clone(),
                backend_id: load.backend_id.clone(),
                model: load.model.clone(),
                version: load.version.clone(),
            };
            self.change(&key, |entry| {
                entry.others = without_own(load, entry.reported)
            });
        }
    }

    /// Changes this node's own counts of one replica.
    pub(crate) fn change_own(&self, key: &ReplicaKey, change: impl FnOnce(&mut ReplicaCounts)) {
        self.change(key, |entry| change(&mut entry.own));
        if !self.follows_peers.load(Ordering::Relaxed) {
            return;
        }
        let mut changed = self.changed.lock().unwrap_or_else(PoisonError::into_inner);
        changed.insert(key.backend_id.clone());
        self.change.notify_one();
    }

    fn change(&self, key: &ReplicaKey, change: impl FnOnce(&mut ReplicaEntry)) {
        let mut shard = self.lock(&key.backend_id);
        change(shard.entry(key.clone()).or_default());
    }

    fn lock(&self, backend_id: &str) -> MutexGuard<'_, BoardShard> {
        let slot = xxh3_64(backend_id.as_bytes()) as usize % BOARD_SHARDS;
        let shard = &self.shards[slot];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sorts before every replica of the backend.
fn first_key(backend_id: &str) -> ReplicaKey {
    ReplicaKey {
        backend_id: backend_id.to_owned(),
        ..ReplicaKey::default()
    }
}

fn all_nodes(entry: &ReplicaEntry) -> ReplicaCounts {
    let ReplicaEntry { own, others, .. } = entry;
    ReplicaCounts {
        // Others' counts come from the network and may be anything.
        prefill_tokens: own.prefill_tokens.saturating_add(others.prefill_tokens),
        decode_streams: own.decode_streams.saturating_add(others.decode_streams),
        held_requests: own.held_requests.saturating_add(others.held_requests),
    }
}

fn is_in_use(entry: &ReplicaEntry) -> bool {
    let idle = ReplicaCounts::default();
    entry.own != idle || entry.reported != idle || entry.others != idle
}

/// The report of one replica, if anything changed since its last one.
fn take_load(key: &ReplicaKey, entry: &mut ReplicaEntry) -> Option<ReplicaLoad> {
    let unchanged = entry.own == entry.reported;
    if unchanged && entry.samples.is_empty() && entry.failures == 0 {
        entry.reports_without += 1;
        let idle = entry.own == ReplicaCounts::default();
        if idle || entry.reports_without < REFRESH_AFTER_REPORTS {
            return None;
        }
    }
    entry.reports_without = 0;
    entry.reported = entry.own;
    Some(ReplicaLoad {
        backend_id: key.backend_id.clone(),
        model: key.model.clone(),
        version: key.version.clone(),
        prefill_tokens: entry.own.prefill_tokens,
        decode_streams: entry.own.decode_streams,
        held_requests: entry.own.held_requests,
        samples: std::mem::take(&mut entry.samples),
        failures: std::mem::take(&mut entry.failures),
    })
}

fn without_own(load: &ReplicaLoad, own: ReplicaCounts) -> ReplicaCounts {
    ReplicaCounts {
        prefill_tokens: load.prefill_tokens.saturating_sub(own.prefill_tokens),
        decode_streams: load.decode_streams.saturating_sub(own.decode_streams),
        held_requests: load.held_requests.saturating_sub(own.held_requests),
    }
}
