//! Second step of a plan: places missing replicas of each model and withdraws surplus ones.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use millford_core::MonotonicTime;

use crate::plan::draft::Draft;
use crate::plan::moves::MoveReason;
use crate::plan::pool_view::PoolView;
use crate::replica_key::ReplicaKey;

/// Backends that declare only an old version may host the model again when the utilization of the
/// target version's backends exceeds the transition budget by this factor.
const OLD_VERSION_MARGIN: f64 = 1.3;

/// Whether a plan may withdraw a surplus replica in this tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// At least one step interval has passed since the last withdrawal.
    Allowed,
    /// Less than one step interval has passed since the last withdrawal.
    TooSoon,
}

/// Times since which each model has had more replicas than desired.
#[derive(Clone, Debug, Default)]
pub struct SurplusTimers {
    since: BTreeMap<String, MonotonicTime>,
}

/// Returns the number of backends that should host the model.
///
/// By default these are all eligible backends, because with fewer of them cores would be idle. With
/// `size_by_load`, models that share backends get the number that their load needs in processor
/// time and memory bandwidth.
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
        // No load was reported, for instance after a change of leader: keep the current replicas.
        return present.max(view.options.min_replicas).min(backends.len());
    }
    let busy = view.model_backends_busy(model);
    let for_cores = (busy / view.options.target_utilization).ceil() as usize;
    let for_bandwidth = replicas_for_bandwidth(view, model, &backends);
    let fewest = view.options.min_replicas;
    for_cores.max(for_bandwidth).max(fewest).min(backends.len())
}

/// Returns the backends that may host the model.
///
/// A backend that declares only an old version is eligible while it hosts the model, at the first
/// placement, and when there are too few backends with the target version for the load.
/// [`OLD_VERSION_MARGIN`] sets that threshold above the one of the withdrawal of old versions, so
/// that such replicas are not placed and withdrawn in turn.
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

/// Places all missing replicas at once, and withdraws surplus ones one at a time.
pub fn scale(
    view: &PoolView<'_>,
    timers: &mut SurplusTimers,
    withdrawal: Withdrawal,
    draft: &mut Draft,
) {
    let models: Vec<String> = view.declared.models().cloned().collect();
    for model in models {
        let desired = desired_replicas(view, &model, draft);
        let present = hosting_backends(draft, &model).len();
        match present.cmp(&desired) {
            Ordering::Less => {
                timers.since.remove(&model);
                place_missing(view, &model, desired - present, draft);
            }
            Ordering::Equal => {
                timers.since.remove(&model);
            }
            Ordering::Greater => withdraw_surplus(view, &model, timers, withdrawal, draft),
        }
    }
}

/// Returns the backends with an active replica of the model.
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

/// Returns the replicas that could be placed. The first is on the backend whose more heavily used
/// resource, processor time or bandwidth, is used least.
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
        left.used_share
            .total_cmp(&right.used_share)
            .then_with(|| left.key.cmp(&right.key))
    });
    candidates
        .into_iter()
        .map(|candidate| candidate.key)
        .collect()
}

struct Candidate {
    key: ReplicaKey,
    /// Used share of processor time or bandwidth, whichever is higher.
    used_share: f64,
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
        used_share: view.utilization(backend).max(bandwidth),
    })
}

/// Returns the version to place on a backend that does not host the model: the target version if
/// the backend declares it, else the highest version that it declares.
fn version_on<'a>(view: &'a PoolView<'_>, model: &str, backend: &str) -> Option<&'a str> {
    let target = view.target_version(model)?;
    if view.declared.declares(backend, model, target) {
        return Some(target);
    }
    view.declared.highest_version_on(model, backend)
}

/// Returns the bandwidth that one more replica would use, in GB/s, if the model's streams were
/// spread evenly.
fn expected_gbps(view: &PoolView<'_>, model: &str, draft: &Draft) -> f64 {
    let replicas = hosting_backends(draft, model).len() + 1;
    view.load.bandwidth.stream_gbps(model) * view.streams_of_model(model) / replicas as f64
}

fn withdraw_surplus(
    view: &PoolView<'_>,
    model: &str,
    timers: &mut SurplusTimers,
    withdrawal: Withdrawal,
    draft: &mut Draft,
) {
    let since = *timers.since.entry(model.to_owned()).or_insert(view.now);
    if withdrawal == Withdrawal::TooSoon || view.now.since(since) < view.options.scale_down_delay {
        return;
    }
    let most_used = draft
        .active()
        .filter(|key| key.model == model)
        .max_by(|left, right| {
            let left_use = view.utilization(&left.backend);
            left_use.total_cmp(&view.utilization(&right.backend))
        })
        .cloned();
    if let Some(key) = most_used {
        draft.drain(&key, MoveReason::ScaledDown);
        // Withdraw one at a time, because the next decision needs the load that results from it.
        timers.since.insert(model.to_owned(), view.now);
    }
}
