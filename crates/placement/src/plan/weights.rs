//! Third step: weights of new work by memory bandwidth.
//!
//! Routing counts the processor work of every model on a backend by itself, but sees nothing of the memory
//! bandwidth. Weights therefore express bandwidth only: they fall on a backend above its limit, for the
//! model with most headroom elsewhere, and rise again when the backend is well below.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};

use crate::plan::draft::{Draft, FULL_WEIGHT_MILLI};
use crate::plan::moves::MoveReason;
use crate::plan::pool_view::PoolView;
use crate::replica_key::ReplicaKey;

/// Smallest weight, in thousandths: enough work to observe when the replica could take more.
const MIN_WEIGHT_MILLI: u32 = 100;
/// Share of its limit to which a backend is relieved.
const RELIEF_TARGET: f64 = 0.9;
/// Smallest factor by which one step lowers a weight.
const MIN_RELIEF_FACTOR: f64 = 0.7;
/// Share of the limit under which weights recover.
const RECOVERY_BELOW: f64 = 0.75;
/// Factor by which one step raises a recovering weight.
const RECOVERY_FACTOR: f64 = 1.15;

/// Since when each backend has been above its limit or well below it.
#[derive(Clone, Debug, Default)]
pub struct PressureClock {
    above: BTreeMap<String, MonotonicTime>,
    below: BTreeMap<String, MonotonicTime>,
}

impl PressureClock {
    /// Whether a state has lasted for `delay`; the clock then starts again.
    fn due(
        since: &mut BTreeMap<String, MonotonicTime>,
        backend: &str,
        now: MonotonicTime,
        delay: Duration,
    ) -> bool {
        let start = *since.entry(backend.to_owned()).or_insert(now);
        if now.since(start) < delay {
            return false;
        }
        since.insert(backend.to_owned(), now);
        true
    }
}

/// Relieves backends that have been above the limit and lets others recover.
pub fn adjust_weights(view: &PoolView<'_>, clock: &mut PressureClock, draft: &mut Draft) {
    if !view.options.bandwidth_dimension {
        return;
    }
    let backends: Vec<&str> = view
        .active_backends()
        .map(|backend| backend.id.as_str())
        .collect();
    for backend in backends {
        let limit = view.bandwidth_limit(backend);
        if limit <= 0.0 {
            continue;
        }
        let pressure = view.bandwidth_use(backend) / limit;
        if pressure <= 1.0 {
            clock.above.remove(backend);
        } else {
            let delay = view.options.bandwidth_relief_delay;
            if PressureClock::due(&mut clock.above, backend, view.now, delay) {
                relieve(view, backend, pressure, draft);
            }
        }
        if pressure >= RECOVERY_BELOW {
            clock.below.remove(backend);
        } else {
            let delay = view.options.recovery_delay;
            if PressureClock::due(&mut clock.below, backend, view.now, delay) {
                recover(backend, draft);
            }
        }
    }
}

/// Lowers the weight of the model with most headroom elsewhere, or records that none has any.
fn relieve(view: &PoolView<'_>, backend: &str, pressure: f64, draft: &mut Draft) {
    let streams = view.streams_on(backend);
    let candidates: Vec<ReplicaKey> = draft
        .active()
        .filter(|key| key.backend == backend)
        .filter(|key| streams.get(&key.model).is_some_and(|count| *count > 0.0))
        .cloned()
        .collect();
    let best = candidates
        .iter()
        .filter(|key| weight_of(draft, key) > MIN_WEIGHT_MILLI)
        .map(|key| (key, headroom_elsewhere(view, key, draft)))
        .filter(|(_, headroom)| *headroom > 0.0)
        .max_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(key, _)| key.clone());
    match (best, candidates.into_iter().next()) {
        (Some(key), _) => {
            let factor = (RELIEF_TARGET / pressure).max(MIN_RELIEF_FACTOR);
            let lowered = (f64::from(weight_of(draft, &key)) * factor) as u32;
            draft.reweight(
                &key,
                lowered.max(MIN_WEIGHT_MILLI),
                MoveReason::BandwidthRelief,
            );
        }
        // No other backend has headroom: the limit stays exceeded, and the plan says so.
        (None, Some(key)) => draft.record(key, MoveReason::BandwidthExceeded),
        (None, None) => {}
    }
}

/// Bandwidth that is free under the limit on the model's other backends, in GB/s.
fn headroom_elsewhere(view: &PoolView<'_>, key: &ReplicaKey, draft: &Draft) -> f64 {
    draft
        .active()
        .filter(|other| other.model == key.model && other.backend != key.backend)
        .map(|other| {
            let limit = view.bandwidth_limit(&other.backend) * RELIEF_TARGET;
            (limit - view.bandwidth_use(&other.backend)).max(0.0)
        })
        .sum()
}

fn weight_of(draft: &Draft, key: &ReplicaKey) -> u32 {
    draft
        .replicas
        .get(key)
        .map_or(0, |replica| replica.weight_milli)
}

/// Raises the lowered weights on a backend by [`RECOVERY_FACTOR`].
fn recover(backend: &str, draft: &mut Draft) {
    let lowered: Vec<ReplicaKey> = draft
        .active()
        .filter(|key| key.backend == backend && weight_of(draft, key) < FULL_WEIGHT_MILLI)
        .cloned()
        .collect();
    for key in lowered {
        let raised = (f64::from(weight_of(draft, &key)) * RECOVERY_FACTOR).ceil() as u32;
        draft.reweight(&key, raised.min(FULL_WEIGHT_MILLI), MoveReason::Reweighted);
    }
}
