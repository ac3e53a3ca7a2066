//! Obtains the first part of an answer, with retries and a hedge.

use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use millford_core::{MonotonicTime, ResultCode, RunState};

use crate::request::attempt::{Attempt, FailedAttempt, OpenedAttempt};
use crate::request::caller::CallerPresence;
use crate::request::choose_backend::{ChosenReplica, choose_backend};
use crate::request::environment::RequestEnvironment;
use crate::request::failure::{AttemptFailure, AttemptOutcome};
use crate::request::message::{SentFlag, WithdrawRequest};
use crate::request::plan::RequestPlan;
use crate::request::refusal::Refusal;
use crate::request::send_progress::SendProgress;
use crate::request::unserved::Unserved;
use crate::request::wait::{WaitOutcome, wait_until};

/// Label values of the metric that counts sends after the first.
const RETRY: &str = "retry";
const HEDGE: &str = "hedge";

/// Sends the request until a backend answers, within the deadline and the retry budget.
///
/// For a request that is not repeatable, bytes are sent in at most one attempt.
///
/// # Errors
/// Fails when no backend answers in time, or when the caller disconnects first.
pub async fn first_answer<'a, E, P>(
    environment: &'a E,
    plan: &RequestPlan,
    presence: &P,
) -> Result<OpenedAttempt<'a, E>, Unserved>
where
    E: RequestEnvironment,
    P: CallerPresence,
{
    let mut tracker = AttemptTracker::new(environment, plan);
    let mut attempts = FuturesUnordered::new();
    let mut hedge_at = None;
    let unserved = loop {
        if attempts.is_empty() {
            // A request whose caller has disconnected is not sent.
            if presence.disconnected().now_or_never().is_some() {
                break Unserved::CallerDisconnected(RunState::NotRun);
            }
            match tracker.start_next() {
                Ok(attempt) => attempts.push(attempt.run(plan)),
                Err(refusal) => break Unserved::Refused(refusal),
            }
            hedge_at = hedge_time(environment, plan);
        }
        let until = hedge_at.unwrap_or(plan.deadline).min(plan.deadline);
        match wait_until(environment, presence, until, attempts.next()).await {
            WaitOutcome::Ready(Some(Ok(opened))) => {
                tracker.conclude(&opened.attempt.withdraw_request());
                return Ok(opened);
            }
            WaitOutcome::Ready(Some(Err(failed))) => tracker.record_failed(failed),
            WaitOutcome::Ready(None) => {}
            WaitOutcome::TimedOut if environment.now() >= plan.deadline => {
                break Unserved::Refused(tracker.deadline_refusal());
            }
            WaitOutcome::TimedOut => {
                hedge_at = None;
                if let Some(attempt) = tracker.start_hedge() {
                    attempts.push(attempt.run(plan));
                }
            }
            WaitOutcome::CallerDisconnected => {
                break Unserved::CallerDisconnected(RunState::NotRun);
            }
        }
    };
    // Dropping the attempts closes their connections before the backends are asked to withdraw.
    drop(attempts);
    Err(tracker.give_up(unserved).await)
}

fn hedge_time<E: RequestEnvironment>(environment: &E, plan: &RequestPlan) -> Option<MonotonicTime> {
    let delay = plan.route.hedge_delay.filter(|_| plan.is_repeatable())?;
    Some(environment.now() + delay)
}

/// Position of a send among the sends of its request, which determines its part in the retry
/// budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendOrder {
    /// The first send. It adds to the retry budget once a byte was sent.
    First,
    /// A retry or a hedge. It has spent retry budget.
    Additional,
}

/// An attempt in flight, with what is needed to withdraw it.
struct InFlightAttempt {
    withdraw_request: WithdrawRequest,
    sent: SentFlag,
    order: SendOrder,
}

/// The attempts of one request, failed and in flight.
struct AttemptTracker<'a, 'p, E> {
    environment: &'a E,
    plan: &'p RequestPlan,
    progress: SendProgress,
    in_flight: Vec<InFlightAttempt>,
    /// Number of attempts started so far, not counting hedges.
    connects: u32,
}

impl<'a, 'p, E: RequestEnvironment> AttemptTracker<'a, 'p, E> {
    fn new(environment: &'a E, plan: &'p RequestPlan) -> Self {
        Self {
            environment,
            plan,
            progress: SendProgress::default(),
            in_flight: Vec::new(),
            connects: 0,
        }
    }

    /// Starts the first attempt or a retry. Refuses if the request may not be sent again.
    fn start_next(&mut self) -> Result<Attempt<'a, E>, Refusal> {
        let replica = self.next_replica()?;
        self.connects += 1;
        Ok(self.start(replica, RETRY))
    }

    /// Starts a second attempt in parallel, if another backend is available and the retry budget
    /// allows it.
    fn start_hedge(&mut self) -> Option<Attempt<'a, E>> {
        let mut excluded = self.progress.tried.clone();
        let in_flight = self.in_flight.iter();
        excluded.extend(in_flight.map(|attempt| attempt.withdraw_request.backend_id.clone()));
        let replica = choose_backend(self.environment, self.plan, &excluded, None)?;
        if !self.environment.state().budget.try_spend() {
            return None;
        }
        Some(self.start(replica, HEDGE))
    }

    fn start(&mut self, replica: ChosenReplica, kind: &str) -> Attempt<'a, E> {
        let attempt = Attempt::start(self.environment, replica);
        let order = if self.progress.sends > 0 {
            let sends = &self.environment.state().metrics.second_sends;
            sends.with_label_values(&[kind]).inc();
            SendOrder::Additional
        } else {
            SendOrder::First
        };
        self.progress.sends += 1;
        self.in_flight.push(InFlightAttempt {
            withdraw_request: attempt.withdraw_request(),
            sent: attempt.sent_flag(),
            order,
        });
        attempt
    }

    fn next_replica(&self) -> Result<ChosenReplica, Refusal> {
        let failure = self.progress.last_failure();
        if self.environment.now() >= self.plan.deadline {
            return Err(failure.map_or_else(|| self.deadline_refusal(), refusal_for));
        }
        if let Some(failure) = failure
            && !self.may_continue_after(failure)
        {
            return Err(refusal_for(failure));
        }
        let replica = choose_backend(self.environment, self.plan, &self.progress.tried, None);
        let replica = replica.ok_or_else(|| match failure {
            Some(failure) => refusal_for(failure),
            None => Refusal::not_run(ResultCode::NoBackend),
        })?;
        // The first send is free; every later one spends retry budget.
        if self.progress.sends > 0 && !self.environment.state().budget.try_spend() {
            let failure = failure.unwrap_or_else(AttemptFailure::not_sent);
            return Err(refusal_for(failure).with_detail("The retry budget is used up."));
        }
        Ok(replica)
    }

    fn may_continue_after(&self, failure: AttemptFailure) -> bool {
        // No attempt has sent a byte: the next one is still the first send.
        let nothing_sent = failure.outcome == AttemptOutcome::NotSent && self.progress.sends == 0;
        if nothing_sent {
            return self.connects < self.environment.state().limits.max_connects;
        }
        self.plan.is_repeatable() && failure.retryable
    }

    /// Records the successful attempt and withdraws the failed ones that may have run. Attempts
    /// still in flight are withdrawn when they are dropped.
    fn conclude(&mut self, withdraw_request: &WithdrawRequest) {
        self.record_sent(withdraw_request);
        self.progress.withdraw_rest(self.environment);
    }

    fn record_failed(&mut self, failed: FailedAttempt) {
        if failed.failure.outcome == AttemptOutcome::NotSent {
            // No byte was sent: the attempt does not count as a send.
            self.progress.sends -= 1;
            if self.order_of(&failed.withdraw_request) == Some(SendOrder::Additional) {
                self.environment.state().budget.refund();
            }
        } else {
            self.record_sent(&failed.withdraw_request);
        }
        self.in_flight
            .retain(|attempt| attempt.withdraw_request != failed.withdraw_request);
        self.progress
            .record_failure(failed.failure, failed.withdraw_request);
    }

    fn record_sent(&self, withdraw_request: &WithdrawRequest) {
        if let Some(order) = self.order_of(withdraw_request) {
            earn_if_first(self.environment, order);
        }
    }

    fn order_of(&self, withdraw_request: &WithdrawRequest) -> Option<SendOrder> {
        let mut attempts = self.in_flight.iter();
        let attempt = attempts.find(|attempt| attempt.withdraw_request == *withdraw_request)?;
        Some(attempt.order)
    }

    /// Withdraws the attempts in flight, then sets whether the request may have run.
    async fn give_up(mut self, unserved: Unserved) -> Unserved {
        for attempt in self.in_flight {
            let failure = if attempt.sent.is_set() {
                earn_if_first(self.environment, attempt.order);
                AttemptFailure::unknown(ResultCode::DeadlineAfterSend)
            } else {
                AttemptFailure::not_sent()
            };
            self.progress
                .record_failure(failure, attempt.withdraw_request);
        }
        match unserved {
            Unserved::Refused(refusal) => {
                let refusal = self.progress.give_up(self.environment, refusal).await;
                Unserved::Refused(refusal)
            }
            Unserved::CallerDisconnected(_) => {
                let placeholder = Refusal::may_have_run(ResultCode::DeadlineAfterSend);
                let refusal = self.progress.give_up(self.environment, placeholder).await;
                Unserved::CallerDisconnected(refusal.run)
            }
        }
    }

    fn deadline_refusal(&self) -> Refusal {
        if self.progress.sends == 0 {
            Refusal::not_run(ResultCode::DeadlineBeforeSend)
        } else {
            Refusal::may_have_run(ResultCode::DeadlineAfterSend)
        }
    }
}

/// Adds to the retry budget for a first send. Called only once a byte may have been sent.
fn earn_if_first<E: RequestEnvironment>(environment: &E, order: SendOrder) {
    if order == SendOrder::First {
        let state = environment.state();
        state.budget.earn();
        state.metrics.first_sends.inc();
    }
}

fn refusal_for(failure: AttemptFailure) -> Refusal {
    let refusal = Refusal::may_have_run(failure.code);
    match failure.retry_after_ms {
        Some(millis) => refusal.with_retry_after(millis),
        None => refusal,
    }
}
