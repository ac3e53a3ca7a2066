//! Fourth step of a plan: version transitions, as far as the utilization budget allows.

use std::collections::BTreeMap;

use millford_api::state::ReplicaState;
use millford_core::MonotonicTime;

use crate::plan::draft::Draft;
use crate::plan::moves::MoveReason;
use crate::plan::pool_view::PoolView;
use crate::replica_key::ReplicaKey;

/// Divisor of the size of an ordinary step that gives the size of a forced one.
const FORCED_STEP_DIVISOR: usize = 4;

/// Transitions in progress, by model.
#[derive(Clone, Debug, Default)]
pub struct Transitions {
    models: BTreeMap<String, Progress>,
}

#[derive(Clone, Debug)]
struct Progress {
    target: String,
    desired_since: MonotonicTime,
    last_step: Option<MonotonicTime>,
}

/// Takes the next step of each model's transition that may proceed.
pub fn transition(view: &PoolView<'_>, transitions: &mut Transitions, draft: &mut Draft) {
    let models: Vec<String> = view.declared.models().cloned().collect();
    for model in models {
        let Some(target) = view.target_version(&model) else {
            continue;
        };
        let old = old_replicas(draft, &model, target);
        if old.is_empty() {
            transitions.models.remove(&model);
            continue;
        }
        let progress = transitions.progress(&model, target, view.now);
        step(view, &model, &old, progress, draft);
    }
}

impl Transitions {
    fn progress(&mut self, model: &str, target: &str, now: MonotonicTime) -> &mut Progress {
        let new = || Progress {
            target: String::new(),
            desired_since: now,
            last_step: None,
        };
        // The deferral counts from when a transition was first desired. A change of the target
        // version meanwhile does not restart it.
        let progress = self.models.entry(model.to_owned()).or_insert_with(new);
        target.clone_into(&mut progress.target);
        progress
    }
}

fn old_replicas(draft: &Draft, model: &str, target: &str) -> Vec<ReplicaKey> {
    draft
        .active()
        .filter(|key| key.model == model && key.version != target)
        .cloned()
        .collect()
}

/// Decision on the next step of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gate {
    /// The step may change this many backends.
    Open(usize),
    /// The step would be deferred, but the longest deferral has passed.
    Forced,
    /// The step is deferred for this reason.
    Closed(MoveReason),
}

fn step(
    view: &PoolView<'_>,
    model: &str,
    old: &[ReplicaKey],
    progress: &mut Progress,
    draft: &mut Draft,
) {
    if step_is_under_way(view, model, draft) {
        return;
    }
    let since_step = progress.last_step.map(|last| view.now.since(last));
    if since_step.is_some_and(|passed| passed < view.options.step_interval) {
        return;
    }
    let target = progress.target.clone();
    let in_place = replaceable_in_place(view, &target, old);
    if in_place.is_empty() {
        withdraw_surplus_old(view, model, &target, old, progress, draft);
        return;
    }
    let deferred_for = view.now.since(progress.desired_since);
    let overdue = deferred_for >= view.limits.longest_deferral;
    match gate(view, model, overdue) {
        Gate::Open(count) => {
            replace(&in_place, count, &target, MoveReason::TransitionStep, draft);
            progress.last_step = Some(view.now);
        }
        Gate::Forced => {
            if since_step.is_some_and(|passed| passed < view.options.forced_step_interval) {
                return;
            }
            let count = forced_step_size(view, model);
            let reason = MoveReason::TransitionForced;
            replace(&in_place, count, &target, reason, draft);
            progress.last_step = Some(view.now);
        }
        Gate::Closed(reason) => draft.record(in_place[0].clone(), reason),
    }
}

/// Whether a replica of the model is still draining on an active backend that also has an active
/// replica of the model. The next step waits for its end, so that steps do not overlap.
fn step_is_under_way(view: &PoolView<'_>, model: &str, draft: &Draft) -> bool {
    draft.draining().any(|key| {
        key.model == model && view.is_active(&key.backend) && draft.hosts_model(&key.backend, model)
    })
}

/// Returns the old replicas whose backends also declare the target version, least used backend
/// first.
fn replaceable_in_place(view: &PoolView<'_>, target: &str, old: &[ReplicaKey]) -> Vec<ReplicaKey> {
    let mut replaceable: Vec<ReplicaKey> = old
        .iter()
        .filter(|key| view.declared.declares(&key.backend, &key.model, target))
        .cloned()
        .collect();
    replaceable.sort_by(|left, right| {
        let left_use = view.utilization(&left.backend);
        left_use
            .total_cmp(&view.utilization(&right.backend))
            .then_with(|| left.cmp(right))
    });
    replaceable
}

/// Decides whether the next step may proceed and how many backends it may change.
fn gate(view: &PoolView<'_>, model: &str, overdue: bool) -> Gate {
    let backends = view.declared.backends_of_model(model).len();
    let allowed = step_size(view, backends);
    if !view.options.transition_gate {
        return Gate::Open(backends);
    }
    let retiring = retiring_backends(view);
    let left = allowed.saturating_sub(retiring);
    let closed = if left == 0 {
        MoveReason::TransitionBehindRetirements
    } else {
        // Assume that the backends of the step provide no capacity while they hold both versions.
        let remaining = backends.saturating_sub(left).max(1);
        let projected = view.pool_utilization() * backends as f64 / remaining as f64;
        if projected <= view.limits.transition_budget {
            return Gate::Open(left);
        }
        MoveReason::TransitionDeferred
    };
    if overdue {
        Gate::Forced
    } else {
        Gate::Closed(closed)
    }
}

fn step_size(view: &PoolView<'_>, backends: usize) -> usize {
    ((backends as f64 * view.options.step_share) as usize).max(1)
}

/// Returns the number of backends that the platform retires and that still have work in flight.
/// Each of them reduces the size of the next step by one.
fn retiring_backends(view: &PoolView<'_>) -> usize {
    view.backends
        .keys()
        .filter(|backend| !view.is_active(backend))
        .filter(|backend| {
            view.load
                .work
                .iter()
                .any(|(key, work)| &key.backend == *backend && !work.is_idle())
        })
        .count()
}

/// Returns the number of backends that a forced step changes: a quarter of an ordinary step, at
/// least one backend.
fn forced_step_size(view: &PoolView<'_>, model: &str) -> usize {
    let backends = view.declared.backends_of_model(model).len();
    (step_size(view, backends) / FORCED_STEP_DIVISOR).max(1)
}

/// Places a replica of the target version beside each of the first `count` old replicas, with the
/// same weight, and drains the old one in the same change.
fn replace(
    in_place: &[ReplicaKey],
    count: usize,
    target: &str,
    reason: MoveReason,
    draft: &mut Draft,
) {
    for old in in_place.iter().take(count) {
        let weight = draft.replicas.get(old).map(|replica| replica.weight_milli);
        let new = ReplicaKey::new(&old.backend, &old.model, target);
        draft.place(new.clone(), reason);
        if let (Some(weight_milli), Some(placed)) = (weight, draft.replicas.get_mut(&new)) {
            placed.weight_milli = weight_milli;
        }
        draft.drain(old, MoveReason::OldVersionWithdrawn);
    }
}

/// Drains old replicas on backends without the target version once the target version's replicas
/// can take the whole load.
///
/// This is never forced, because a single new replica must not get the load of the whole pool.
fn withdraw_surplus_old(
    view: &PoolView<'_>,
    model: &str,
    target: &str,
    old: &[ReplicaKey],
    progress: &mut Progress,
    draft: &mut Draft,
) {
    let new_replicas = draft
        .replicas
        .iter()
        .filter(|(key, replica)| {
            key.model == model
                && key.version == target
                && replica.state == ReplicaState::ReplicaActive
        })
        .count();
    let projected = view.model_backends_busy(model) / new_replicas.max(1) as f64;
    let fits = new_replicas > 0 && projected <= view.limits.transition_budget;
    if view.options.transition_gate && !fits {
        draft.record(old[0].clone(), MoveReason::TransitionDeferred);
        return;
    }
    if new_replicas == 0 {
        return;
    }
    let count = step_size(view, old.len() + new_replicas);
    for key in old.iter().take(count) {
        draft.drain(key, MoveReason::OldVersionWithdrawn);
    }
    progress.last_step = Some(view.now);
}
