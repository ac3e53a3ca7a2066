//! The claim of a request that may run only once.

use millford_api::command::{Claim, ResolveClaim, RunOutcome};
use millford_core::{MonotonicTime, ResultCode, RunState};
use millford_data_plane::agent_message::ClaimAnswer;

use crate::request::environment::RequestEnvironment;
use crate::request::refusal::Refusal;

/// A granted claim. Unless settled, it stays "may have run".
#[derive(Clone, Debug)]
pub struct ClaimHold {
    claim: Claim,
}

impl ClaimHold {
    /// Reserves the single run before a byte goes to a backend.
    ///
    /// A claim that was not confirmed in time is never used for a run, so it is settled as not
    /// run: it may have been recorded all the same, and the key can then be claimed again.
    pub async fn take<E: RequestEnvironment>(
        environment: &E,
        claim: Claim,
        deadline: MonotonicTime,
    ) -> Result<Self, Refusal> {
        let timeout = deadline.since(environment.now());
        let hold = Self {
            claim: claim.clone(),
        };
        match environment.claim(claim, timeout).await {
            ClaimAnswer::Granted => Ok(hold),
            ClaimAnswer::Taken(outcome) => Err(taken(outcome)),
            ClaimAnswer::KeyReused => Err(Refusal::not_run(ResultCode::IdempotencyKeyReused)),
            ClaimAnswer::Unavailable => {
                hold.settle(environment, RunOutcome::RunNotRun);
                Err(Refusal::not_run(ResultCode::ClaimUnavailable))
            }
        }
    }

    /// Records what became of the run.
    pub fn settle<E: RequestEnvironment>(&self, environment: &E, outcome: RunOutcome) {
        environment.resolve_claim(ResolveClaim {
            tenant: self.claim.tenant.clone(),
            request_id: self.claim.request_id.clone(),
            attempt_id: self.claim.attempt_id.clone(),
            outcome: outcome.into(),
        });
    }

    /// Records a failed request: not run, failed, or nothing while its fate is unknown.
    pub fn settle_refused<E: RequestEnvironment>(&self, environment: &E, refusal: &Refusal) {
        match (refusal.run, refusal.code) {
            (RunState::NotRun, _) => self.settle(environment, RunOutcome::RunNotRun),
            (RunState::MayHaveRun, ResultCode::BackendError) => {
                self.settle(environment, RunOutcome::RunFailed);
            }
            (RunState::MayHaveRun, _) => {}
        }
    }
}

fn taken(outcome: RunOutcome) -> Refusal {
    match outcome {
        RunOutcome::RunCompleted => Refusal::may_have_run(ResultCode::AlreadyCompleted),
        RunOutcome::RunFailed => Refusal::may_have_run(ResultCode::AlreadyFailed),
        RunOutcome::RunUnknown => Refusal::may_have_run(ResultCode::MayHaveRun),
        // The earlier claim was given back while this one was answered: it can be claimed again.
        RunOutcome::RunNotRun => Refusal::not_run(ResultCode::ClaimUnavailable),
    }
}
