//! Exponential means of the work in flight.

use std::collections::{BTreeMap, BTreeSet};

use millford_core::{Duration, MonotonicTime};

use crate::load::replica_work::ReplicaWork;
use crate::replica_key::ReplicaKey;

/// Means at or below this value count as 0, and the entry of the replica or backend is removed.
const NEGLIGIBLE: f64 = 0.005;

/// Exponential means of one replica's work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SmoothedWork {
    /// Streams that have returned their first token, and requests held open while the backend
    /// drains.
    pub streams: f64,
    /// Share of the time in which a prompt was in prefill on the replica, from 0 to 1.
    pub prefill_busy: f64,
}

/// Exponential means of a pool's work, by replica and by backend.
#[derive(Clone, Debug)]
pub struct SmoothedLoad {
    stream_constant: Duration,
    busy_constant: Duration,
    last_tick: Option<MonotonicTime>,
    replicas: BTreeMap<ReplicaKey, SmoothedWork>,
    backends: BTreeMap<String, f64>,
}

impl SmoothedLoad {
    /// Creates means without work. `stream_constant` is the time constant of the means of streams,
    /// `busy_constant` that of the shares of time in prefill.
    #[must_use]
    pub fn new(stream_constant: Duration, busy_constant: Duration) -> Self {
        Self {
            stream_constant,
            busy_constant,
            last_tick: None,
            replicas: BTreeMap::new(),
            backends: BTreeMap::new(),
        }
    }

    /// Updates the means with the work in flight at `now`.
    pub fn observe(&mut self, now: MonotonicTime, work: &BTreeMap<ReplicaKey, ReplicaWork>) {
        let passed = self.last_tick.map(|last| now.since(last));
        self.last_tick = Some(now);
        let stream_weight = sample_weight(passed, self.stream_constant);
        let busy_weight = sample_weight(passed, self.busy_constant);
        for key in work.keys() {
            self.replicas.entry(key.clone()).or_default();
            self.backends.entry(key.backend.clone()).or_default();
        }
        for (key, mean) in &mut self.replicas {
            let present = work.get(key).copied().unwrap_or_default();
            let streams = f64::from(present.decode_streams) + f64::from(present.held_requests);
            update_mean(&mut mean.streams, streams, stream_weight);
            update_mean(
                &mut mean.prefill_busy,
                indicator(present.prefill_tokens > 0),
                busy_weight,
            );
        }
        let prefilling: BTreeSet<&str> = work
            .iter()
            .filter(|(_, work)| work.prefill_tokens > 0)
            .map(|(key, _)| key.backend.as_str())
            .collect();
        for (backend, busy) in &mut self.backends {
            update_mean(
                busy,
                indicator(prefilling.contains(backend.as_str())),
                busy_weight,
            );
        }
        self.replicas
            .retain(|_, mean| mean.streams > NEGLIGIBLE || mean.prefill_busy > NEGLIGIBLE);
        self.backends.retain(|_, busy| *busy > NEGLIGIBLE);
    }

    /// Returns the means by replica.
    #[must_use]
    pub fn replicas(&self) -> &BTreeMap<ReplicaKey, SmoothedWork> {
        &self.replicas
    }

    /// Returns the means of the replicas on one backend.
    pub fn replicas_on<'a>(
        &'a self,
        backend: &'a str,
    ) -> impl Iterator<Item = (&'a ReplicaKey, &'a SmoothedWork)> {
        self.replicas
            .range(ReplicaKey::new(backend, "", "")..)
            .take_while(move |(key, _)| key.backend == backend)
    }

    /// Returns the share of the time in which any prompt was in prefill on a backend, from 0 to 1.
    #[must_use]
    pub fn prefill_busy(&self, backend: &str) -> f64 {
        self.backends.get(backend).copied().unwrap_or(0.0)
    }

    /// Returns the mean number of streams on a backend, by model.
    #[must_use]
    pub fn streams_on(&self, backend: &str) -> BTreeMap<String, f64> {
        let mut streams = BTreeMap::new();
        for (key, mean) in self.replicas_on(backend) {
            *streams.entry(key.model.clone()).or_insert(0.0) += mean.streams;
        }
        streams
    }
}

/// Returns the weight of a new value in an exponential mean; 1 for the first value.
fn sample_weight(passed: Option<Duration>, constant: Duration) -> f64 {
    let constant = constant.as_secs_f64().max(f64::MIN_POSITIVE);
    passed.map_or(1.0, |passed| 1.0 - (-passed.as_secs_f64() / constant).exp())
}

fn update_mean(mean: &mut f64, value: f64, weight: f64) {
    *mean += weight * (value - *mean);
}

fn indicator(holds: bool) -> f64 {
    if holds { 1.0 } else { 0.0 }
}
