//! Third step: backends above their memory bandwidth ceiling get less work.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::plan::draft::Draft;
use crate::plan::moves::MoveReason;
use crate::plan::pool_view::PoolView;
use crate::replica_key::ReplicaKey;

/// Weight under which a replica is withdrawn instead of lowered further, in thousandths.
const LEAST_WEIGHT_MILLI: u32 = 200;
/// A backend is relieved to this share of its ceiling.
const RELIEF_TARGET: f64 = 0.9;

/// Since when each backend has been above its ceiling.
#[derive(Clone, Debug, Default)]
pub struct ExcessClock {
    since: BTreeMap<String, MonotonicTime>,
}

impl ExcessClock {
    fn held(&mut self, backend: &str, now: MonotonicTime) -> millford_core::Duration {
        let since = *self.since.entry(backend.to_owned()).or_insert(now);
        now.since(since)
    }
}

/// Relieves every backend that has been above its ceiling for the hold time.
pub fn relieve(view: &PoolView, clock: &mut ExcessClock, draft: &mut Draft) {
    if !view.options.bandwidth_dimension {
        return;
    }
    let backends: Vec<&str> = view
        .active_backends()
        .map(|backend| backend.id.as_str())
        .collect();
    for backend in backends {
        let limit = view.bandwidth_limit(backend);
        if limit <= 0.0 || view.bandwidth_use(backend) <= limit {
            clock.since.remove(backend);
            continue;
        }
        if clock.held(backend, view.now) >= view.options.bandwidth_hold {
            relieve_backend(view, backend, draft);
            clock.since.insert(backend.to_owned(), view.now);
        }
    }
}

fn relieve_backend(view: &PoolView, backend: &str, draft: &mut Draft) {
    let streams = view.streams_on(backend);
    let use_of = |model: &str| {
        view.load.bandwidth.stream_gbps(model) * streams.get(model).copied().unwrap_or(0.0)
    };
    let mut replicas: Vec<ReplicaKey> = draft
        .active()
        .filter(|key| key.backend == backend)
        .cloned()
        .collect();
    replicas.sort_by(|left, right| use_of(&right.model).total_cmp(&use_of(&left.model)));
    let excess = view.bandwidth_use(backend) - view.bandwidth_limit(backend) * RELIEF_TARGET;
    for key in &replicas {
        if elsewhere_has_room(view, key, excess, draft) {
            lower(view, key, draft);
            return;
        }
    }
    // Nothing has room: the ceiling stays exceeded, and the plan says so.
    if let Some(key) = replicas.into_iter().next() {
        draft.note(key, MoveReason::BandwidthExceeded);
    }
}

/// Whether the model's other replicas together have room for the excess.
fn elsewhere_has_room(view: &PoolView, key: &ReplicaKey, excess: f64, draft: &Draft) -> bool {
    let room: f64 = draft
        .active()
        .filter(|other| other.model == key.model && other.backend != key.backend)
        .map(|other| {
            (view.bandwidth_limit(&other.backend) - view.bandwidth_use(&other.backend)).max(0.0)
        })
        .sum();
    room > excess
}

fn lower(view: &PoolView, key: &ReplicaKey, draft: &mut Draft) {
    let present = draft
        .replicas
        .get(key)
        .map_or(0, |replica| replica.weight_milli);
    let share =
        view.bandwidth_limit(&key.backend) * RELIEF_TARGET / view.bandwidth_use(&key.backend);
    let lowered = (f64::from(present) * share) as u32;
    if lowered < LEAST_WEIGHT_MILLI {
        draft.drain(key, MoveReason::BandwidthRelief);
    } else {
        draft.reweight(key, lowered, MoveReason::BandwidthRelief);
    }
}
