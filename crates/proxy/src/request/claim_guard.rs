//! Claims the idempotency key of a request that may run at most once.

use millford_api::command::{Claim, ResolveClaim, RunOutcome};
use millford_core::{ResultCode, RunState};
use millford_data_plane::agent_message::ClaimAnswer;
use sha2::{Digest, Sha256};

use crate::request::caller::CallerRequest;
use crate::request::chat_request::ChatRequest;
use crate::request::environment::RequestEnvironment;
use crate::request::plan::{RequestPlan, random_id};
use crate::request::refusal::Refusal;
use crate::request::unserved::Unserved;

/// A granted claim, or none for a request that needs none. A claim that is not resolved stays
/// recorded as "may have run".
#[derive(Clone, Debug)]
pub struct ClaimGuard {
    claim: Option<Claim>,
}

impl ClaimGuard {
    /// Claims the idempotency key of a request that is not repeatable, before any byte is sent to a
    /// backend. Requests without a key and requests on repeatable routes need no claim.
    ///
    /// # Errors
    /// Refuses when the key is claimed by an earlier request, when it was used for a different
    /// request, or when the claim is not confirmed in time.
    pub async fn acquire_if_needed<E: RequestEnvironment>(
        environment: &E,
        plan: &RequestPlan,
        chat: &ChatRequest,
        request: &CallerRequest,
    ) -> Result<Self, Refusal> {
        let Some(key) = chat
            .idempotency_key
            .as_ref()
            .filter(|_| !plan.is_repeatable())
        else {
            return Ok(Self { claim: None });
        };
        let claim = Claim {
            tenant: plan.tenant.clone(),
            request_id: key.clone(),
            attempt_id: random_id([environment.random(), environment.random()]),
            digest: request_digest(chat, request),
        };
        Self::acquire(environment, plan, claim).await
    }

    /// Requests the claim. A claim that is not confirmed in time is never used for a run, but it
    /// may have been recorded; it is resolved as not run, so that the key can be claimed again.
    async fn acquire<E: RequestEnvironment>(
        environment: &E,
        plan: &RequestPlan,
        claim: Claim,
    ) -> Result<Self, Refusal> {
        let timeout = plan.deadline.since(environment.now());
        let guard = Self {
            claim: Some(claim.clone()),
        };
        match environment.claim(claim, timeout).await {
            ClaimAnswer::Granted => Ok(guard),
            ClaimAnswer::Taken(outcome) => Err(claim_taken_refusal(outcome)),
            ClaimAnswer::KeyReused => Err(Refusal::not_run(ResultCode::IdempotencyKeyReused)),
            ClaimAnswer::Unavailable => {
                guard.resolve(environment, RunOutcome::RunNotRun);
                Err(Refusal::not_run(ResultCode::ClaimUnavailable))
            }
        }
    }

    /// Resolves the claim, if there is one, with the outcome of the run.
    pub fn resolve<E: RequestEnvironment>(&self, environment: &E, outcome: RunOutcome) {
        let Some(claim) = &self.claim else {
            return;
        };
        environment.resolve_claim(ResolveClaim {
            tenant: claim.tenant.clone(),
            request_id: claim.request_id.clone(),
            attempt_id: claim.attempt_id.clone(),
            outcome: outcome.into(),
        });
    }

    /// Resolves the claim of a request without a complete answer: as not run or as failed. Leaves
    /// it unresolved if it is unknown whether the request ran.
    pub fn resolve_unserved<E: RequestEnvironment>(&self, environment: &E, unserved: &Unserved) {
        match unserved {
            Unserved::Refused(Refusal {
                run: RunState::MayHaveRun,
                code: ResultCode::BackendError,
                ..
            }) => self.resolve(environment, RunOutcome::RunFailed),
            _ if unserved.run_state() == RunState::NotRun => {
                self.resolve(environment, RunOutcome::RunNotRun);
            }
            _ => {}
        }
    }
}

/// Computes the digest of everything that determines the answer: body, stage and adapter.
fn request_digest(chat: &ChatRequest, request: &CallerRequest) -> Vec<u8> {
    let mut hasher = Sha256::new();
    for part in [&chat.requested.stage, &chat.requested.adapter] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&request.body);
    hasher.finalize().to_vec()
}

/// Returns the refusal for a key that an earlier request claimed, by the outcome of that request.
fn claim_taken_refusal(outcome: RunOutcome) -> Refusal {
    match outcome {
        RunOutcome::RunCompleted => Refusal::may_have_run(ResultCode::AlreadyCompleted),
        RunOutcome::RunFailed => Refusal::may_have_run(ResultCode::AlreadyFailed),
        RunOutcome::RunUnknown => Refusal::may_have_run(ResultCode::MayHaveRun),
        // The earlier claim was resolved as not run in the meantime: the key can be claimed again.
        RunOutcome::RunNotRun => Refusal::not_run(ResultCode::ClaimUnavailable),
    }
}
