//! Second step: as many replicas of each model as its load wants.

use std::collections::{BTreeMap, BTreeSet};

use millford_core::MonotonicTime;

use crate::plan::draft::Draft;
use crate::plan::moves::MoveReason;
use crate::plan::pool_view::PoolView;
use crate::replica_key::ReplicaKey;

/// Old versions are placed again when the target's backends are this much over the transition budget.
const OLD_VERSION_MARGIN: f64 = 1.3;

/// Since when a model has had more replicas than it wants.
#[derive(Clone, Debug, Default)]
pub struct SurplusClock {
    since: BTreeMap<String, MonotonicTime>,
}

/// Number of backends that should hold the model.
///
/// All that may, by default: fewer would idle cores. Sized by load, models that share backends get what
/// their load wants in both dimensions.
#[must_use]
pub fn wanted_replicas(view: &PoolView, model: &str, draft: &Draft) -> usize {
    let backends = eligible_backends(view, model, draft);
    let shared = backends.iter().any(|backend| view.models_on(backend) > 1);
    let present = holders(draft, model).len();
    if !view.options.size_by_load || !shared || present == 0 {
        return backends.len();
    }
    if !view.has_load(model) {
        // Nothing is known, as after a change of leader: keep what there is.
        return present
            .max(view.options.fewest_replicas)
            .min(backends.len());
    }
    let busy = view.model_backends_busy(model);
    let for_cores = (busy / view.options.target_utilization).ceil() as usize;
    let for_bandwidth = replicas_for_bandwidth(view, model, &backends);
    let fewest = view.options.fewest_replicas;
    for_cores.max(for_bandwidth).max(fewest).min(backends.len())
}

/// Backends that may hold the model.
///
/// Those that declare only an old version count while they hold it, at the first placement, and when the
/// target's backends are too few; the margin against the withdrawal's threshold keeps it from flapping.
fn eligible_backends<'a>(view: &'a PoolView, model: &str, draft: &Draft) -> BTreeSet<&'a str> {
    let all = view.backends_of_model(model);
    let held = holders(draft, model);
    let with_target: BTreeSet<&str> = view.backends_of_target(model);
    let busy = view.model_backends_busy(model) / with_target.len().max(1) as f64;
    let needs_old = busy > view.limits.transition_budget * OLD_VERSION_MARGIN;
    if held.is_empty() || needs_old {
        return all;
    }
    all.into_iter()
        .filter(|backend| with_target.contains(backend) || held.contains(*backend))
        .collect()
}

fn replicas_for_bandwidth(view: &PoolView, model: &str, backends: &BTreeSet<&str>) -> usize {
    if !view.options.bandwidth_dimension || backends.is_empty() {
        return 0;
    }
    let limits = backends.iter().map(|backend| view.bandwidth_limit(backend));
    let mean_limit = limits.sum::<f64>() / backends.len() as f64;
    if mean_limit <= 0.0 {
        return 0;
    }
    let demand = view.load.bandwidth.stream_gbps(model) * view.streams_of_model(model);
    (demand / mean_limit).ceil() as usize
}

/// Places missing replicas at once, and withdraws surplus ones slowly.
pub fn scale(view: &PoolView, clock: &mut SurplusClock, may_withdraw: bool, draft: &mut Draft) {
    let models: Vec<String> = view.declared.keys().cloned().collect();
    for model in models {
        let wanted = wanted_replicas(view, &model, draft);
        let holders = holders(draft, &model);
        if holders.len() < wanted {
            clock.since.remove(&model);
            place_missing(view, &model, wanted - holders.len(), draft);
        } else if holders.len() > wanted {
            withdraw_surplus(view, &model, clock, may_withdraw, draft);
        } else {
            clock.since.remove(&model);
        }
    }
}

/// Backends with an active replica of the model.
fn holders(draft: &Draft, model: &str) -> BTreeSet<String> {
    draft
        .active()
        .filter(|key| key.model == model)
        .map(|key| key.backend.clone())
        .collect()
}

fn place_missing(view: &PoolView, model: &str, missing: usize, draft: &mut Draft) {
    let first_placement = !draft.active().any(|key| key.model == model);
    let reason = if first_placement {
        MoveReason::Placed
    } else {
        MoveReason::ScaledUp
    };
    for candidate in candidates(view, model, draft).into_iter().take(missing) {
        draft.place(candidate, reason);
    }
}

/// Backends that could take the model, the least used in its tighter dimension first.
fn candidates(view: &PoolView, model: &str, draft: &Draft) -> Vec<ReplicaKey> {
    let share = expected_gbps(view, model, draft);
    let mut candidates: Vec<Candidate> = eligible_backends(view, model, draft)
        .into_iter()
        .filter(|backend| !draft.hosts_model(backend, model))
        .filter(|backend| view.bandwidth_fits(backend, share))
        .filter_map(|backend| candidate(view, model, backend))
        .filter(|candidate| !draft.replicas.contains_key(&candidate.key))
        .collect();
    candidates.sort_by(|left, right| {
        left.fullness
            .total_cmp(&right.fullness)
            .then_with(|| left.key.cmp(&right.key))
    });
    candidates
        .into_iter()
        .map(|candidate| candidate.key)
        .collect()
}

struct Candidate {
    key: ReplicaKey,
    /// Use of the tighter dimension.
    fullness: f64,
}

fn candidate(view: &PoolView, model: &str, backend: &str) -> Option<Candidate> {
    let version = version_on(view, model, backend)?;
    let limit = view.bandwidth_limit(backend);
    let bandwidth = if limit > 0.0 && view.options.bandwidth_dimension {
        view.bandwidth_use(backend) / limit
    } else {
        0.0
    };
    Some(Candidate {
        key: ReplicaKey::new(backend, model, version),
        fullness: view.utilization(backend).max(bandwidth),
    })
}

/// The version to place on a backend without the model: the target, else the highest that it declares.
fn version_on<'a>(view: &'a PoolView, model: &str, backend: &str) -> Option<&'a str> {
    let versions = view.declared.get(model)?;
    let target = view.target_version(model)?;
    if versions.get(target)?.contains(backend) {
        return Some(target);
    }
    versions
        .iter()
        .filter(|(_, holders)| holders.contains(backend))
        .map(|(version, _)| version.as_str())
        .max_by(|left, right| crate::version::compare_versions(left, right))
}

/// Bandwidth that one more replica would take over, in GB/s.
fn expected_gbps(view: &PoolView, model: &str, draft: &Draft) -> f64 {
    let replicas = holders(draft, model).len() + 1;
    view.load.bandwidth.stream_gbps(model) * view.streams_of_model(model) / replicas as f64
}

fn withdraw_surplus(
    view: &PoolView,
    model: &str,
    clock: &mut SurplusClock,
    may_withdraw: bool,
    draft: &mut Draft,
) {
    let since = *clock.since.entry(model.to_owned()).or_insert(view.now);
    if !may_withdraw || view.now.since(since) < view.options.scale_down_hold {
        return;
    }
    let fullest = draft
        .active()
        .filter(|key| key.model == model)
        .max_by(|left, right| {
            let left_use = view.utilization(&left.backend);
            left_use.total_cmp(&view.utilization(&right.backend))
        })
        .cloned();
    if let Some(key) = fullest {
        draft.drain(&key, MoveReason::ScaledDown);
        // One at a time: the next is judged on the load that follows.
        clock.since.insert(model.to_owned(), view.now);
    }
}
