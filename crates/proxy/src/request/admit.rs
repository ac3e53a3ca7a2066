//! Admission by the estimated time to the first token, fair among tenants.

use std::sync::Arc;

use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_routing::fair_queue::WaiterId;
use millford_routing::{AdmissionEstimate, FairQueue, QueueKey};

use crate::request::choose_backend::replica_key;
use crate::request::environment::RequestEnvironment;
use crate::request::plan::RequestPlan;
use crate::request::refusal::Refusal;

/// An admitted request's share of its tenant's work, until its prefill ends.
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

/// A position in the queue, given up on whatever path the wait ends.
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

/// Admits the request, lets it wait for its tenant's turn, or sheds it.
///
/// While the first token would come too late, a tenant over its share is refused at once; the
/// others wait for a bounded time.
///
/// # Errors
/// Refuses a request that would get its first token too late.
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

/// Whether some backend would give the first token in time.
fn has_capacity<E: RequestEnvironment>(environment: &E, plan: &RequestPlan) -> bool {
    let state = environment.state();
    let limit = first_token_limit(environment, plan.deadline);
    match best_estimate(environment, plan) {
        Some(estimate) => estimate.admits(&plan.requirement.model, &state.costs, limit),
        // Nothing to wait for here: the choice of the backend gives the refusal.
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

/// The refusal tells when the queue before the request should have been worked off.
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
    refusal.with_retry_after(millis.clamp(SHORTEST_RETRY_AFTER_MS, LONGEST_RETRY_AFTER_MS))
}

/// Bounds of the time after which a shed caller is asked to come back, in milliseconds.
const SHORTEST_RETRY_AFTER_MS: u32 = 250;
const LONGEST_RETRY_AFTER_MS: u32 = 30_000;
