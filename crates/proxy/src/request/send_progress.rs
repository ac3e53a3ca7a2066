//! What has been sent for one request so far.

use millford_core::RunState;

use crate::request::environment::RequestEnvironment;
use crate::request::failure::{AttemptFailure, RunFate};
use crate::request::message::{WithdrawAnswer, WithdrawRequest};
use crate::request::refusal::Refusal;

/// Attempts of one request that ended without an answer.
#[derive(Debug, Default)]
pub struct SendProgress {
    /// Attempts of which a byte may have left.
    pub sends: u32,
    /// Backends that failed and are not tried again.
    pub tried: Vec<String>,
    last_failure: Option<AttemptFailure>,
    unconfirmed: Vec<WithdrawRequest>,
    certainly_ran: bool,
}

impl SendProgress {
    /// Notes a failed attempt.
    pub fn record_failure(&mut self, failure: AttemptFailure, attempt: WithdrawRequest) {
        self.tried.push(attempt.backend_id.clone());
        match failure.fate {
            RunFate::NotSent | RunFate::RefusedBeforeWork => {}
            RunFate::Unknown => self.unconfirmed.push(attempt),
            RunFate::Failed => self.certainly_ran = true,
        }
        self.last_failure = Some(failure);
    }

    /// The failure of the last attempt.
    #[must_use]
    pub fn last_failure(&self) -> Option<AttemptFailure> {
        self.last_failure
    }

    /// An attempt succeeded elsewhere: the others are withdrawn without waiting.
    pub fn withdraw_rest<E: RequestEnvironment>(&mut self, environment: &E) {
        for attempt in self.unconfirmed.drain(..) {
            environment.withdraw_later(attempt);
        }
    }

    /// Withdraws what may still run, then says truthfully whether the request ran.
    ///
    /// Only "withdrawn" from every backend that may have got a byte makes it "not run".
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
        let run = if all_withdrawn && !self.certainly_ran {
            RunState::NotRun
        } else {
            RunState::MayHaveRun
        };
        Refusal { run, ..refusal }
    }
}

/// Withdraws one attempt. An answer after the time-out counts as none: the age that the backend
/// compared with would no longer be an upper bound. A process that was frozen meanwhile may well
/// find such an answer before it finds that the time is over.
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
