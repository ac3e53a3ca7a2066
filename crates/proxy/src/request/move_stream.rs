//! Continues a stream on another backend after its backend was lost.

use millford_api::config::Resume;
use millford_core::{ResultCode, RunState};

use crate::request::attempt::{Attempt, OpenedAttempt};
use crate::request::caller::CallerPresence;
use crate::request::choose_backend::choose_backend;
use crate::request::environment::RequestEnvironment;
use crate::request::failure::AttemptOutcome;
use crate::request::plan::RequestPlan;
use crate::request::refusal::Refusal;
use crate::request::unserved::Unserved;
use crate::request::wait::{WaitOutcome, wait_until};

/// A stream whose backend was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostStream {
    /// Id of the lost backend.
    pub backend_id: String,
    /// Model version of the run; no other version may continue it.
    pub version: String,
    /// Id of the run.
    pub run: String,
    /// Sequence number of the first chunk that was not relayed to the caller.
    pub next_sequence: u64,
    /// Reason for the loss, which the caller gets if no other backend continues the run.
    pub code: ResultCode,
}

impl LostStream {
    /// Describes the interrupted run of `attempt`, for another backend to continue it.
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

/// Continues the run on another backend, at exactly the next sequence number.
///
/// # Errors
/// Fails when the route, the retry budget or the deadline do not allow another attempt, when no
/// other backend confirms that it continues the run, or when the caller disconnects.
pub async fn move_stream<'a, E: RequestEnvironment, P: CallerPresence>(
    environment: &'a E,
    plan: &RequestPlan,
    presence: &P,
    lost: &LostStream,
) -> Result<OpenedAttempt<'a, E>, Unserved> {
    let state = environment.state();
    let stream_lost = || Unserved::Refused(Refusal::may_have_run(lost.code));
    let allowed = plan.is_repeatable() && plan.route.resume == Resume::Continue;
    if !allowed {
        return Err(stream_lost());
    }
    let mut tried = vec![lost.backend_id.clone()];
    for _ in 0..state.limits.max_connects {
        let version = Some(lost.version.as_str());
        let replica = choose_backend(environment, plan, &tried, version).ok_or_else(stream_lost)?;
        if environment.now() >= plan.deadline || !state.budget.try_spend() {
            return Err(stream_lost());
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
            WaitOutcome::Ready(Ok(opened)) => {
                state.metrics.moved_streams.inc();
                return Ok(opened);
            }
            WaitOutcome::Ready(Err(failed))
                if failed.failure.outcome == AttemptOutcome::NotSent =>
            {
                state.budget.refund();
            }
            WaitOutcome::Ready(Err(failed)) => environment.withdraw_later(failed.withdraw_request),
            WaitOutcome::TimedOut => {
                return Err(Refusal::may_have_run(ResultCode::DeadlineAfterSend).into());
            }
            WaitOutcome::CallerDisconnected => {
                return Err(Unserved::CallerDisconnected(RunState::MayHaveRun));
            }
        }
    }
    Err(stream_lost())
}
