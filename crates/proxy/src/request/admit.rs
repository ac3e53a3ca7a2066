//! Admission control by the estimated time to the first token, with fair queueing among tenants.

use std::sync::Arc;

use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_routing::fair_queue::WaiterId;
use millford_routing::{AdmissionEstimate, FairQueue, QueueKey};

use crate::request::choose_backend::replica_key;
use crate::request::environment::RequestEnvironment;
use crate::request::plan::RequestPlan;
use crate::request::refusal::Refusal;

/// Prompt tokens of an admitted request, counted as its tenant's work until the guard is dropped at
/// the end of the prefill.
pub struct AdmissionGuard {
    queue: Arc<FairQueue>,
    tenant: String,
    tokens: u64,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.queue.finish(&self.tenant, self.tokens);
    }
}

/// A position in the queue. Dropping it removes the request from the queue, whichever way the wait
/// ends.
struct QueuePosition<'a> {
    queue: &'a FairQueue,
    tenant: &'a str,
    id: WaiterId,
}

impl Drop for QueuePosition<'_> {
    fn drop(&mut self) {
        self.queue.leave(self.tenant, self.id);
    }
}

/// Admits the request, queues it for a bounded time, or refuses it.
///
/// While no backend is estimated to produce the first token in time, a tenant over its fair share
/// is refused at once; requests of other tenants wait in the queue.
///
/// # Errors
/// Refuses the request as overloaded: at once if its tenant is over its share, otherwise when the
/// wait ends before its turn comes and a backend has capacity.
pub async fn admit<E: RequestEnvironment>(
    environment: &E,
    plan: &RequestPlan,
) -> Result<AdmissionGuard, Refusal> {
    let queue = environment.state().queues.queue(&QueueKey {
        pool: plan.route.pool.clone(),
        model: plan.requirement.model.clone(),
    });
    let has_capacity = has_capacity(environment, plan);
    if !has_capacity && queue.is_over_share(&plan.tenant) {
        return Err(overloaded(environment, plan));
    }
    if !has_capacity || queue.has_waiters() {
        wait_for_turn(environment, plan, &queue).await?;
    }
    queue.begin(&plan.tenant, plan.prompt_tokens);
    Ok(AdmissionGuard {
        queue,
        tenant: plan.tenant.clone(),
        tokens: plan.prompt_tokens,
    })
}

async fn wait_for_turn<E: RequestEnvironment>(
    environment: &E,
    plan: &RequestPlan,
    queue: &FairQueue,
) -> Result<(), Refusal> {
    let state = environment.state();
    let position = QueuePosition {
        queue,
        tenant: &plan.tenant,
        id: queue.join(&plan.tenant),
    };
    let until = (environment.now() + state.limits.admission_wait).min(plan.deadline);
    while environment.now() < until {
        if queue.is_next(&plan.tenant, position.id) && has_capacity(environment, plan) {
            return Ok(());
        }
        environment
            .sleep(state.limits.admission_check_interval)
            .await;
    }
    Err(overloaded(environment, plan))
}

/// Returns whether some backend is estimated to produce the first token in time.
fn has_capacity<E: RequestEnvironment>(environment: &E, plan: &RequestPlan) -> bool {
    let state = environment.state();
    let limit = first_token_limit(environment, plan.deadline);
    match best_estimate(environment, plan) {
        Some(estimate) => estimate.admits(&plan.requirement.model, &state.costs, limit),
        // There is no usable backend to wait for; choosing the backend returns the refusal.
        None => true,
    }
}

fn first_token_limit<E: RequestEnvironment>(environment: &E, deadline: MonotonicTime) -> Duration {
    let left = deadline.since(environment.now());
    environment.state().limits.first_token_limit.min(left)
}

fn best_estimate<E: RequestEnvironment>(
    environment: &E,
    plan: &RequestPlan,
) -> Option<AdmissionEstimate> {
    let state = environment.state();
    let table = state.table();
    let pool = table.pool(&plan.route.pool)?;
    let candidates = pool.candidates(&plan.requirement);
    let usable = candidates
        .into_iter()
        .filter(|replica| state.health.is_usable(&replica.backend.id));
    let queued = usable.map(|replica| {
        let key = replica_key(&pool.name, replica);
        state.load_table.counts(&key).prefill_tokens
    });
    Some(AdmissionEstimate {
        queued_tokens: queued.min()?,
        own_tokens: plan.prompt_tokens,
    })
}

/// Builds the refusal. Its retry delay is the time by which the estimated first token exceeds the
/// limit.
fn overloaded<E: RequestEnvironment>(environment: &E, plan: &RequestPlan) -> Refusal {
    let refusal = Refusal::not_run(ResultCode::Overloaded);
    let Some(estimate) = best_estimate(environment, plan) else {
        return refusal;
    };
    let costs = &environment.state().costs;
    let first_token = estimate.first_token(&plan.requirement.model, costs);
    let limit = first_token_limit(environment, plan.deadline);
    let excess = first_token.saturating_sub(limit).as_millis();
    let millis = u32::try_from(excess).unwrap_or(u32::MAX);
    refusal.with_retry_after(millis.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))
}

/// Bounds of the retry delay that a refused caller is given, in milliseconds.
const MIN_RETRY_AFTER_MS: u32 = 250;
const MAX_RETRY_AFTER_MS: u32 = 30_000;
