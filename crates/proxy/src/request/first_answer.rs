//! From the chosen backend to the first part of an answer, with retries and a hedge.

use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use millford_core::{MonotonicTime, ResultCode, RunState};

use crate::request::attempt::{Attempt, FailedAttempt, OpenedAttempt};
use crate::request::caller::CallerPresence;
use crate::request::choose_backend::{ChosenReplica, choose_backend};
use crate::request::environment::RequestEnvironment;
use crate::request::failure::{AttemptFailure, RunFate};
use crate::request::message::{SentFlag, WithdrawRequest};
use crate::request::plan::RequestPlan;
use crate::request::refusal::Refusal;
use crate::request::send_progress::SendProgress;
use crate::request::unserved::Unserved;
use crate::request::wait::{Waited, wait_until};

/// Kinds of a second send, as the metrics name them.
const RETRY: &str = "retry";
const HEDGE: &str = "hedge";

/// Sends the request until one backend answers, within the deadline and the retry budget.
///
/// A request that is not repeatable has at most one attempt of which a byte left.
///
/// # Errors
/// Fails when no backend answers in time, and when the caller disconnects first.
pub async fn first_answer<'a, E, P>(
    environment: &'a E,
    plan: &RequestPlan,
    presence: &P,
) -> Result<OpenedAttempt<'a, E>, Unserved>
where
    E: RequestEnvironment,
    P: CallerPresence,
{
    let mut dispatches = Dispatches::new(environment, plan);
    let mut attempts = FuturesUnordered::new();
    let mut hedge_at = None;
    let unserved = loop {
        if attempts.is_empty() {
            // Nothing is sent for a caller that has disconnected.
            if presence.disconnected().now_or_never().is_some() {
                break Unserved::CallerDisconnected(RunState::NotRun);
            }
            match dispatches.start_next() {
                Ok(attempt) => attempts.push(attempt.run(plan)),
                Err(refusal) => break Unserved::Refused(refusal),
            }
            hedge_at = hedge_time(environment, plan);
        }
        let until = hedge_at.unwrap_or(plan.deadline).min(plan.deadline);
        match wait_until(environment, presence, until, attempts.next()).await {
            Waited::Ready(Some(Ok(opened))) => {
                dispatches.conclude(&opened.attempt.reference());
                return Ok(opened);
            }
            Waited::Ready(Some(Err(failed))) => dispatches.record_failed(failed),
            Waited::Ready(None) => {}
            Waited::TimedOut if environment.now() >= plan.deadline => {
                break Unserved::Refused(dispatches.deadline_refusal());
            }
            Waited::TimedOut => {
                hedge_at = None;
                if let Some(attempt) = dispatches.start_hedge() {
                    attempts.push(attempt.run(plan));
                }
            }
            Waited::CallerDisconnected => break Unserved::CallerDisconnected(RunState::NotRun),
        }
    };
    // Dropping the attempts closes their connections before the backends are asked to withdraw.
    drop(attempts);
    Err(dispatches.give_up(unserved).await)
}

fn hedge_time<E: RequestEnvironment>(environment: &E, plan: &RequestPlan) -> Option<MonotonicTime> {
    let delay = plan.route.hedge_delay.filter(|_| plan.is_repeatable())?;
    Some(environment.now() + delay)
}

/// Whether a send is the first of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendOrder {
    /// It earns retry budget once its byte left.
    First,
    /// It spent retry budget.
    Further,
}

/// An attempt in flight, as needed to withdraw it.
struct InFlightAttempt {
    reference: WithdrawRequest,
    sent: SentFlag,
    order: SendOrder,
}

/// The attempts of one request: those that failed and those in flight.
struct Dispatches<'a, 'p, E> {
    environment: &'a E,
    plan: &'p RequestPlan,
    progress: SendProgress,
    in_flight: Vec<InFlightAttempt>,
    /// Connections tried so far.
    connects: u32,
}

impl<'a, 'p, E: RequestEnvironment> Dispatches<'a, 'p, E> {
    fn new(environment: &'a E, plan: &'p RequestPlan) -> Self {
        Self {
            environment,
            plan,
            progress: SendProgress::default(),
            in_flight: Vec::new(),
            connects: 0,
        }
    }

    /// Starts the next attempt, if the request may be sent (again).
    fn start_next(&mut self) -> Result<Attempt<'a, E>, Refusal> {
        let replica = self.next_replica()?;
        self.connects += 1;
        Ok(self.start(replica, RETRY))
    }

    /// Starts a second attempt beside the first, if another backend and the budget allow it.
    fn start_hedge(&mut self) -> Option<Attempt<'a, E>> {
        let mut without = self.progress.tried.clone();
        let in_flight = self.in_flight.iter();
        without.extend(in_flight.map(|attempt| attempt.reference.backend_id.clone()));
        let replica = choose_backend(self.environment, self.plan, &without, None)?;
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
            SendOrder::Further
        } else {
            SendOrder::First
        };
        self.progress.sends += 1;
        self.in_flight.push(InFlightAttempt {
            reference: attempt.reference(),
            sent: attempt.sent_flag(),
            order,
        });
        attempt
    }

    fn next_replica(&self) -> Result<ChosenReplica, Refusal> {
        let failure = self.progress.last_failure();
        if self.environment.now() >= self.plan.deadline {
            return Err(failure.map_or_else(|| self.deadline_refusal(), refusal_of));
        }
        if let Some(failure) = failure
            && !self.may_continue_after(failure)
        {
            return Err(refusal_of(failure));
        }
        let replica = choose_backend(self.environment, self.plan, &self.progress.tried, None);
        let replica = replica.ok_or_else(|| match failure {
            Some(failure) => refusal_of(failure),
            None => Refusal::not_run(ResultCode::NoBackend),
        })?;
        // The first send is free; every further one must be in the budget.
        if self.progress.sends > 0 && !self.environment.state().budget.try_spend() {
            let failure = failure.unwrap_or_else(AttemptFailure::not_sent);
            return Err(refusal_of(failure).with_detail("The retry budget is used up."));
        }
        Ok(replica)
    }

    fn may_continue_after(&self, failure: AttemptFailure) -> bool {
        // No byte of any attempt left: the next one is still the first send.
        let nothing_sent = failure.fate == RunFate::NotSent && self.progress.sends == 0;
        if nothing_sent {
            return self.connects < self.environment.state().limits.max_connects;
        }
        self.plan.is_repeatable() && failure.elsewhere
    }

    /// An attempt succeeded: the others are withdrawn.
    fn conclude(&mut self, reference: &WithdrawRequest) {
        self.record_sent(reference);
        self.progress.withdraw_rest(self.environment);
    }

    fn record_failed(&mut self, failed: FailedAttempt) {
        if failed.failure.fate == RunFate::NotSent {
            // Nothing left: the send never took place.
            self.progress.sends -= 1;
            if self.order_of(&failed.reference) == Some(SendOrder::Further) {
                self.environment.state().budget.refund();
            }
        } else {
            self.record_sent(&failed.reference);
        }
        self.in_flight
            .retain(|attempt| attempt.reference != failed.reference);
        self.progress
            .record_failure(failed.failure, failed.reference);
    }

    fn record_sent(&self, reference: &WithdrawRequest) {
        if let Some(order) = self.order_of(reference) {
            earn_if_first(self.environment, order);
        }
    }

    fn order_of(&self, reference: &WithdrawRequest) -> Option<SendOrder> {
        let mut attempts = self.in_flight.iter();
        let attempt = attempts.find(|attempt| attempt.reference == *reference)?;
        Some(attempt.order)
    }

    /// Withdraws what is in flight, then says truthfully whether the request ran.
    async fn give_up(mut self, unserved: Unserved) -> Unserved {
        for attempt in self.in_flight {
            let failure = if attempt.sent.is_set() {
                earn_if_first(self.environment, attempt.order);
                AttemptFailure::unknown(ResultCode::DeadlineAfterSend)
            } else {
                AttemptFailure::not_sent()
            };
            self.progress.record_failure(failure, attempt.reference);
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

/// Only a first send whose byte left earns retry budget.
fn earn_if_first<E: RequestEnvironment>(environment: &E, order: SendOrder) {
    if order == SendOrder::First {
        let state = environment.state();
        state.budget.earn();
        state.metrics.first_sends.inc();
    }
}

fn refusal_of(failure: AttemptFailure) -> Refusal {
    let refusal = Refusal::may_have_run(failure.code);
    match failure.retry_after_ms {
        Some(millis) => refusal.with_retry_after(millis),
        None => refusal,
    }
}
