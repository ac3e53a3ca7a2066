//! Moves a stream that lost its backend to another one.

use millford_api::config::Resume;
use millford_core::{ResultCode, RunState};

use crate::request::attempt::{Attempt, OpenedAttempt};
use crate::request::caller::CallerPresence;
use crate::request::choose_backend::choose_backend;
use crate::request::environment::RequestEnvironment;
use crate::request::failure::RunFate;
use crate::request::plan::RequestPlan;
use crate::request::refusal::Refusal;
use crate::request::unserved::Unserved;
use crate::request::wait::{Waited, wait_until};

/// A stream that lost its backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostStream {
    /// The lost backend.
    pub backend_id: String,
    /// Version of the model that ran: no other version continues the run.
    pub version: String,
    /// The run.
    pub run: String,
    /// Sequence number of the first chunk that the caller has not got.
    pub next_sequence: u64,
    /// Why it was lost.
    pub code: ResultCode,
}

impl LostStream {
    /// What another backend needs to continue the attempt's run.
    #[must_use]
    pub fn of<E: RequestEnvironment>(
        attempt: &Attempt<'_, E>,
        next_sequence: u64,
        code: ResultCode,
    ) -> Self {
        Self {
            backend_id: attempt.replica.key.backend_id.clone(),
            version: attempt.replica.key.version.clone(),
            run: attempt.run.clone(),
            next_sequence,
            code,
        }
    }
}

/// Lets another backend continue the run at exactly the next sequence number.
///
/// # Errors
/// Fails when the route, the budget or the time allow no other backend, or none confirms the run.
pub async fn move_stream<'a, E: RequestEnvironment, P: CallerPresence>(
    environment: &'a E,
    plan: &RequestPlan,
    presence: &P,
    lost: &LostStream,
) -> Result<OpenedAttempt<'a, E>, Unserved> {
    let state = environment.state();
    let broken = || Unserved::Refused(Refusal::may_have_run(lost.code));
    let allowed = plan.is_repeatable() && plan.route.resume == Resume::Continue;
    if !allowed {
        return Err(broken());
    }
    let mut tried = vec![lost.backend_id.clone()];
    for _ in 0..state.limits.max_connects {
        let version = Some(lost.version.as_str());
        let replica = choose_backend(environment, plan, &tried, version).ok_or_else(broken)?;
        if environment.now() >= plan.deadline || !state.budget.try_spend() {
            return Err(broken());
        }
        state
            .metrics
            .second_sends
            .with_label_values(&["resume"])
            .inc();
        tried.push(replica.key.backend_id.clone());
        let run = lost.run.clone();
        let attempt = Attempt::resume(environment, replica, run, lost.next_sequence);
        let running = attempt.run(plan);
        match wait_until(environment, presence, plan.deadline, running).await {
            Waited::Ready(Ok(opened)) => {
                state.metrics.moved_streams.inc();
                return Ok(opened);
            }
            Waited::Ready(Err(failed)) if failed.failure.fate == RunFate::NotSent => {
                state.budget.refund();
            }
            Waited::Ready(Err(failed)) => environment.withdraw_later(failed.reference),
            Waited::TimedOut => {
                return Err(Refusal::may_have_run(ResultCode::DeadlineAfterSend).into());
            }
            Waited::CallerDisconnected => {
                return Err(Unserved::CallerDisconnected(RunState::MayHaveRun));
            }
        }
    }
    Err(broken())
}
