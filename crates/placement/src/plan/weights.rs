//! Third step of a plan: weights for new work according to memory bandwidth.
//!
//! Routing accounts for the processor work of all models on a backend, but has no data on memory
//! bandwidth. Weights therefore depend on bandwidth only. On a backend above its limit, the weight
//! of the model with the most headroom on other backends is lowered. It is raised again when the
//! backend is well below its limit.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};

use crate::plan::draft::{Draft, FULL_WEIGHT_MILLI};
use crate::plan::moves::MoveReason;
use crate::plan::pool_view::PoolView;
use crate::replica_key::ReplicaKey;

/// Lowest weight, in thousandths. It leaves enough work on the replica to observe when it could
/// take more.
const MIN_WEIGHT_MILLI: u32 = 100;
/// Share of its bandwidth limit to which a backend is relieved.
const RELIEF_TARGET: f64 = 0.9;
/// Lowest factor by which one step multiplies a weight.
const MIN_RELIEF_FACTOR: f64 = 0.7;
/// Share of the bandwidth limit below which lowered weights are raised.
const RECOVERY_BELOW: f64 = 0.75;
/// Factor by which one step raises a lowered weight.
const RECOVERY_FACTOR: f64 = 1.15;

/// For each backend, the time since which it has been above its bandwidth limit, or well below it.
/// The time restarts with each adjustment of the backend's weights.
#[derive(Clone, Debug, Default)]
pub struct BandwidthTimers {
    above: BTreeMap<String, MonotonicTime>,
    below: BTreeMap<String, MonotonicTime>,
}

impl BandwidthTimers {
    /// Whether a backend's state has lasted for `delay`. If so, the time starts again at `now`.
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

/// Lowers weights on backends that have been above the bandwidth limit, and raises lowered weights
/// on those that have been well below it.
pub fn adjust_weights(view: &PoolView<'_>, timers: &mut BandwidthTimers, draft: &mut Draft) {
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
        let share_of_limit = view.bandwidth_use(backend) / limit;
        if share_of_limit <= 1.0 {
            timers.above.remove(backend);
        } else {
            let delay = view.options.bandwidth_relief_delay;
            if BandwidthTimers::due(&mut timers.above, backend, view.now, delay) {
                relieve(view, backend, share_of_limit, draft);
            }
        }
        if share_of_limit >= RECOVERY_BELOW {
            timers.below.remove(backend);
        } else {
            let delay = view.options.recovery_delay;
            if BandwidthTimers::due(&mut timers.below, backend, view.now, delay) {
                recover(backend, draft);
            }
        }
    }
}

/// Lowers the weight of the model with the most headroom on other backends, or records that no
/// model has any.
fn relieve(view: &PoolView<'_>, backend: &str, share_of_limit: f64, draft: &mut Draft) {
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
            let factor = (RELIEF_TARGET / share_of_limit).max(MIN_RELIEF_FACTOR);
            let lowered = (f64::from(weight_of(draft, &key)) * factor) as u32;
            draft.reweight(
                &key,
                lowered.max(MIN_WEIGHT_MILLI),
                MoveReason::BandwidthRelief,
            );
        }
        // No other backend has headroom: the limit stays exceeded, which the plan reports.
        (None, Some(key)) => draft.record(key, MoveReason::BandwidthExceeded),
        (None, None) => {}
    }
}

/// Returns the bandwidth that is free under the limit on the model's other backends, in GB/s.
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
