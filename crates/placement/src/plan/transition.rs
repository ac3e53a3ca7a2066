//! Fourth step: version transitions under the budget gate.

use std::collections::BTreeMap;

use millford_api::state::ReplicaState;
use millford_core::MonotonicTime;

use crate::plan::draft::Draft;
use crate::plan::moves::MoveReason;
use crate::plan::pool_view::PoolView;
use crate::replica_key::ReplicaKey;

/// How much smaller forced steps are than ordinary ones.
const FORCED_STEP_DIVISOR: usize = 4;

/// Progress of the transitions, by model.
#[derive(Clone, Debug, Default)]
pub struct TransitionClock {
    models: BTreeMap<String, Progress>,
}

#[derive(Clone, Debug)]
struct Progress {
    target: String,
    desired_since: MonotonicTime,
    last_step: Option<MonotonicTime>,
}

/// Takes the next step of every model's transition that may go on.
pub fn transition(view: &PoolView<'_>, clock: &mut TransitionClock, draft: &mut Draft) {
    let models: Vec<String> = view.declared.models().cloned().collect();
    for model in models {
        let Some(target) = view.target_version(&model) else {
            continue;
        };
        let old = old_replicas(draft, &model, target);
        if old.is_empty() {
            clock.models.remove(&model);
            continue;
        }
        let progress = clock.progress(&model, target, view.now);
        step(view, &model, &old, progress, draft);
    }
}

impl TransitionClock {
    fn progress(&mut self, model: &str, target: &str, now: MonotonicTime) -> &mut Progress {
        let new = || Progress {
            target: String::new(),
            desired_since: now,
            last_step: None,
        };
        // The deferral counts from when any newer version was first desired: a later target does not
        // restart it.
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
    /// The step may touch this many backends.
    Open(usize),
    /// The step is over the budget, but the longest deferral has passed.
    Forced,
    /// The step waits.
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

/// Whether an old replica of the model still drains beside its successor. Steps do not overlap.
fn step_is_under_way(view: &PoolView<'_>, model: &str, draft: &Draft) -> bool {
    draft.draining().any(|key| {
        key.model == model && view.is_active(&key.backend) && draft.hosts_model(&key.backend, model)
    })
}

/// Old replicas on backends that declare the target too, the least used first.
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

/// Decides whether the next step may go on and how many backends it may touch.
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
        // As if the backends of the step gave no capacity while they hold both versions.
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

/// Backends that the platform retires and that still carry work: they spend the budget.
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

/// Forced steps are a quarter of the ordinary ones, at least one backend.
fn forced_step_size(view: &PoolView<'_>, model: &str) -> usize {
    let backends = view.declared.backends_of_model(model).len();
    (step_size(view, backends) / FORCED_STEP_DIVISOR).max(1)
}

/// Places the target beside each old replica and drains the old one in the same change.
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

/// Drains old replicas on backends without the target once the target's replicas can carry all load.
///
/// This is never forced: a single new replica must not get the load of the whole pool.
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
