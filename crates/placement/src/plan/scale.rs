//! Second step: as many replicas of each model as its load needs.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use millford_core::MonotonicTime;

use crate::plan::draft::Draft;
use crate::plan::moves::MoveReason;
use crate::plan::pool_view::PoolView;
use crate::replica_key::ReplicaKey;

/// Old versions are placed again when the utilization of the target's backends exceeds the transition
/// budget by this factor.
const OLD_VERSION_MARGIN: f64 = 1.3;

/// Whether the plan may withdraw a surplus replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// The last withdrawal is long enough ago.
    Allowed,
    /// The last withdrawal was less than a step interval ago.
    Paced,
}

/// Since when a model has had more replicas than desired.
#[derive(Clone, Debug, Default)]
pub struct SurplusClock {
    since: BTreeMap<String, MonotonicTime>,
}

/// Number of backends that should host the model.
///
/// All eligible ones, by default: fewer would idle cores. Sized by load, models that share backends get
/// what their load needs of processor time and of memory bandwidth.
#[must_use]
pub fn desired_replicas(view: &PoolView<'_>, model: &str, draft: &Draft) -> usize {
    let backends = eligible_backends(view, model, draft);
    let shared = backends
        .iter()
        .any(|backend| view.declared.models_on(backend) > 1);
    let present = hosting_backends(draft, model).len();
    if !view.options.size_by_load || !shared || present == 0 {
        return backends.len();
    }
    if !view.has_load(model) {
        // Nothing is known, as after a change of leader: retain what there is.
        return present.max(view.options.min_replicas).min(backends.len());
    }
    let busy = view.model_backends_busy(model);
    let for_cores = (busy / view.options.target_utilization).ceil() as usize;
    let for_bandwidth = replicas_for_bandwidth(view, model, &backends);
    let fewest = view.options.min_replicas;
    for_cores.max(for_bandwidth).max(fewest).min(backends.len())
}

/// Backends that may host the model.
///
/// Those that declare only an old version count while they host it, at the first placement, and when the
/// target's backends are too few; the margin over the withdrawal's threshold prevents flapping.
fn eligible_backends<'a>(view: &'a PoolView<'_>, model: &str, draft: &Draft) -> BTreeSet<&'a str> {
    let all = view.declared.backends_of_model(model);
    let hosting = hosting_backends(draft, model);
    let with_target: BTreeSet<&str> = view.backends_of_target(model);
    let busy = view.model_backends_busy(model) / with_target.len().max(1) as f64;
    let needs_old = busy > view.limits.transition_budget * OLD_VERSION_MARGIN;
    if hosting.is_empty() || needs_old {
        return all;
    }
    all.into_iter()
        .filter(|backend| with_target.contains(backend) || hosting.contains(*backend))
        .collect()
}

fn replicas_for_bandwidth(view: &PoolView<'_>, model: &str, backends: &BTreeSet<&str>) -> usize {
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
pub fn scale(
    view: &PoolView<'_>,
    clock: &mut SurplusClock,
    withdrawal: Withdrawal,
    draft: &mut Draft,
) {
    let models: Vec<String> = view.declared.models().cloned().collect();
    for model in models {
        let desired = desired_replicas(view, &model, draft);
        let present = hosting_backends(draft, &model).len();
        match present.cmp(&desired) {
            Ordering::Less => {
                clock.since.remove(&model);
                place_missing(view, &model, desired - present, draft);
            }
            Ordering::Equal => {
                clock.since.remove(&model);
            }
            Ordering::Greater => withdraw_surplus(view, &model, clock, withdrawal, draft),
        }
    }
}

/// Backends with an active replica of the model.
fn hosting_backends(draft: &Draft, model: &str) -> BTreeSet<String> {
    draft
        .active()
        .filter(|key| key.model == model)
        .map(|key| key.backend.clone())
        .collect()
}

fn place_missing(view: &PoolView<'_>, model: &str, missing: usize, draft: &mut Draft) {
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

/// Replicas that could be placed, on the backend that is least used in its tighter dimension first.
fn candidates(view: &PoolView<'_>, model: &str, draft: &Draft) -> Vec<ReplicaKey> {
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
    /// Used share of the tighter of processor time and bandwidth.
    fullness: f64,
}

fn candidate(view: &PoolView<'_>, model: &str, backend: &str) -> Option<Candidate> {
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
fn version_on<'a>(view: &'a PoolView<'_>, model: &str, backend: &str) -> Option<&'a str> {
    let target = view.target_version(model)?;
    if view.declared.declares(backend, model, target) {
        return Some(target);
    }
    view.declared.highest_version_on(model, backend)
}

/// Bandwidth that one more replica would take over, in GB/s.
fn expected_gbps(view: &PoolView<'_>, model: &str, draft: &Draft) -> f64 {
    let replicas = hosting_backends(draft, model).len() + 1;
    view.load.bandwidth.stream_gbps(model) * view.streams_of_model(model) / replicas as f64
}

fn withdraw_surplus(
    view: &PoolView<'_>,
    model: &str,
    clock: &mut SurplusClock,
    withdrawal: Withdrawal,
    draft: &mut Draft,
) {
    let since = *clock.since.entry(model.to_owned()).or_insert(view.now);
    if withdrawal == Withdrawal::Paced || view.now.since(since) < view.options.scale_down_delay {
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
        // One at a time: the next decision uses the load that follows.
        clock.since.insert(model.to_owned(), view.now);
    }
}
