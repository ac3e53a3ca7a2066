//! Tracks the failed attempts of one request.

use millford_core::RunState;

use crate::request::environment::RequestEnvironment;
use crate::request::failure::{AttemptFailure, AttemptOutcome};
use crate::request::message::{WithdrawAnswer, WithdrawRequest};
use crate::request::refusal::Refusal;

/// Attempts of one request that ended without an answer.
#[derive(Debug, Default)]
pub struct SendProgress {
    /// Number of attempts of which a byte was or may still be sent.
    pub sends: u32,
    /// Ids of the backends that failed; they are not tried again.
    pub tried: Vec<String>,
    last_failure: Option<AttemptFailure>,
    unconfirmed: Vec<WithdrawRequest>,
    known_to_have_run: bool,
}

impl SendProgress {
    /// Records a failed attempt.
    pub fn record_failure(&mut self, failure: AttemptFailure, attempt: WithdrawRequest) {
        self.tried.push(attempt.backend_id.clone());
        match failure.outcome {
            AttemptOutcome::NotSent | AttemptOutcome::RefusedBeforeWork => {}
            AttemptOutcome::Unknown => self.unconfirmed.push(attempt),
            AttemptOutcome::Failed => self.known_to_have_run = true,
        }
        self.last_failure = Some(failure);
    }

    /// Returns the failure of the last failed attempt, if any failed.
    #[must_use]
    pub fn last_failure(&self) -> Option<AttemptFailure> {
        self.last_failure
    }

    /// Withdraws the failed attempts that may have run, without waiting for the answers. Called
    /// when another attempt succeeded.
    pub fn withdraw_rest<E: RequestEnvironment>(&mut self, environment: &E) {
        for attempt in self.unconfirmed.drain(..) {
            environment.withdraw_later(attempt);
        }
    }

    /// Withdraws the failed attempts that may have run, waits for the answers, and returns the
    /// refusal with its run state.
    ///
    /// The request counts as "not run" only if every backend that may have received a byte confirms
    /// the withdrawal, and no attempt is known to have run.
    pub async fn give_up<E: RequestEnvironment>(
        &mut self,
        environment: &E,
        refusal: Refusal,
    ) -> Refusal {
        let attempts = std::mem::take(&mut self.unconfirmed);
        let withdrawals = attempts
            .into_iter()
            .map(|attempt| withdraw_in_time(environment, attempt));
        let answers = futures::future::join_all(withdrawals).await;
        let all_withdrawn = answers
            .iter()
            .all(|answer| *answer == WithdrawAnswer::Withdrawn);
        let run = if all_withdrawn && !self.known_to_have_run {
            RunState::NotRun
        } else {
            RunState::MayHaveRun
        };
        Refusal { run, ..refusal }
    }
}

/// Withdraws one attempt. An answer after the timeout is ignored, since the age that the backend
/// compared its uptime with would no longer be an upper bound. The time is checked again here
/// because a process that was suspended may read a late answer before its timer fires.
async fn withdraw_in_time<E: RequestEnvironment>(
    environment: &E,
    attempt: WithdrawRequest,
) -> WithdrawAnswer {
    let asked = environment.now();
    let timeout = attempt.timeout;
    let answer = environment.withdraw(attempt).await;
    if environment.now().since(asked) > timeout {
        return WithdrawAnswer::Unknown;
    }
    answer
}
