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
use crate::request::wait::{Waited, wait_until};

/// Why a request ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unserved {
    /// It is refused.
    Refused(Refusal),
    /// The caller left; whether the request may have run.
    CallerDisconnected(RunState),
}

impl From<Refusal> for Unserved {
    fn from(refusal: Refusal) -> Self {
        Unserved::Refused(refusal)
    }
}

/// An attempt in flight, as needed to withdraw it.
struct InFlight {
    reference: WithdrawRequest,
    sent: SentFlag,
    second: bool,
}

/// Kind of a second send, as the metrics name it.
const RETRY: &str = "retry";
const HEDGE: &str = "hedge";

/// Sends the request until one backend answers, within the deadline and the retry budget.
///
/// A request that is not repeatable has at most one attempt of which a byte left.
pub async fn first_answer<'a, E, P>(
    environment: &'a E,
    plan: &RequestPlan,
    presence: &P,
) -> Result<OpenedAttempt<'a, E>, Unserved>
where
    E: RequestEnvironment,
    P: CallerPresence,
{
    let mut progress = SendProgress::default();
    let mut connects = 0;
    let mut attempts = FuturesUnordered::new();
    let mut in_flight: Vec<InFlight> = Vec::new();
    let mut hedge_at = None;
    let end = loop {
        if attempts.is_empty() {
            // Nothing is sent for a caller that has left.
            if presence.disconnected().now_or_never().is_some() {
                break Unserved::CallerDisconnected(RunState::NotRun);
            }
            let replica = match next_replica(environment, plan, &progress, connects) {
                Ok(replica) => replica,
                Err(refusal) => break Unserved::Refused(refusal),
            };
            connects += 1;
            let attempt = Attempt::start(environment, replica);
            in_flight.push(record_dispatch(environment, &mut progress, &attempt, RETRY));
            attempts.push(attempt.run(plan));
            hedge_at = hedge_time(environment, plan);
        }
        let until = hedge_at.unwrap_or(plan.deadline).min(plan.deadline);
        match wait_until(environment, presence, until, attempts.next()).await {
            Waited::Ready(Some(Ok(opened))) => {
                record_first_send(environment, &in_flight, &opened.attempt.reference());
                progress.withdraw_rest(environment);
                return Ok(opened);
            }
            Waited::Ready(Some(Err(failed))) => {
                record_failed(environment, &mut progress, &mut in_flight, failed);
            }
            Waited::Ready(None) => {}
            Waited::TimedOut if environment.now() >= plan.deadline => {
                break Unserved::Refused(deadline_refusal(&progress));
            }
            Waited::TimedOut => {
                hedge_at = None;
                let Some(replica) = hedge_replica(environment, plan, &progress, &in_flight) else {
                    continue;
                };
                let attempt = Attempt::start(environment, replica);
                in_flight.push(record_dispatch(environment, &mut progress, &attempt, HEDGE));
                attempts.push(attempt.run(plan));
            }
            Waited::CallerDisconnected => break Unserved::CallerDisconnected(RunState::NotRun),
        }
    };
    // Dropping the attempts closes their connections before the backends are asked.
    drop(attempts);
    give_up(environment, progress, in_flight, end).await
}

/// The next backend, if the request may be sent (again).
fn next_replica<E: RequestEnvironment>(
    environment: &E,
    plan: &RequestPlan,
    progress: &SendProgress,
    connects: u32,
) -> Result<ChosenReplica, Refusal> {
    let failure = progress.last_failure();
    if environment.now() >= plan.deadline {
        return Err(failure.map_or_else(|| deadline_refusal(progress), refusal_of));
    }
    if let Some(failure) = failure
        && !may_go_on(environment, plan, progress, failure, connects)
    {
        return Err(refusal_of(failure));
    }
    let replica = choose_backend(environment, plan, &progress.tried, None);
    let replica = replica.ok_or_else(|| match failure {
        Some(failure) => refusal_of(failure),
        None => Refusal::not_run(ResultCode::NoBackend),
    })?;
    // The first send is free; every further one must be in the budget.
    if progress.sends > 0 && !environment.state().budget.try_spend() {
        let failure = failure.unwrap_or_else(AttemptFailure::not_sent);
        return Err(refusal_of(failure).with_detail("The retry budget is used up."));
    }
    Ok(replica)
}

fn may_go_on<E: RequestEnvironment>(
    environment: &E,
    plan: &RequestPlan,
    progress: &SendProgress,
    failure: AttemptFailure,
    connects: u32,
) -> bool {
    // No byte of any attempt left: the next one is still the first send.
    let nothing_sent = failure.fate == RunFate::NotSent && progress.sends == 0;
    if nothing_sent {
        return connects < environment.state().limits.max_connects;
    }
    plan.is_repeatable() && failure.elsewhere
}

fn hedge_time<E: RequestEnvironment>(environment: &E, plan: &RequestPlan) -> Option<MonotonicTime> {
    let delay = plan.route.hedge_delay.filter(|_| plan.is_repeatable())?;
    Some(environment.now() + delay)
}

fn hedge_replica<E: RequestEnvironment>(
    environment: &E,
    plan: &RequestPlan,
    progress: &SendProgress,
    in_flight: &[InFlight],
) -> Option<ChosenReplica> {
    let mut without = progress.tried.clone();
    without.extend(
        in_flight
            .iter()
            .map(|flight| flight.reference.backend_id.clone()),
    );
    let replica = choose_backend(environment, plan, &without, None)?;
    environment.state().budget.try_spend().then_some(replica)
}

fn record_dispatch<E: RequestEnvironment>(
    environment: &E,
    progress: &mut SendProgress,
    attempt: &Attempt<'_, E>,
    kind: &str,
) -> InFlight {
    let second = progress.sends > 0;
    progress.sends += 1;
    if second {
        let sends = &environment.state().metrics.second_sends;
        sends.with_label_values(&[kind]).inc();
    }
    InFlight {
        reference: attempt.reference(),
        sent: attempt.sent_flag(),
        second,
    }
}

fn record_failed<E: RequestEnvironment>(
    environment: &E,
    progress: &mut SendProgress,
    in_flight: &mut Vec<InFlight>,
    failed: FailedAttempt,
) {
    if failed.failure.fate == RunFate::NotSent {
        // Nothing left: the send never took place.
        progress.sends -= 1;
        let was_second = in_flight
            .iter()
            .any(|flight| flight.second && flight.reference == failed.reference);
        if was_second {
            environment.state().budget.refund();
        }
    } else {
        record_first_send(environment, in_flight, &failed.reference);
    }
    in_flight.retain(|flight| flight.reference != failed.reference);
    progress.record_failure(failed.failure, failed.reference);
}

/// Only a first send whose byte left earns.
fn record_first_send<E: RequestEnvironment>(
    environment: &E,
    in_flight: &[InFlight],
    reference: &WithdrawRequest,
) {
    let mut flights = in_flight.iter();
    if let Some(flight) = flights.find(|flight| flight.reference == *reference) {
        earn_if_first(environment, flight.second);
    }
}

fn earn_if_first<E: RequestEnvironment>(environment: &E, second: bool) {
    if second {
        return;
    }
    let state = environment.state();
    state.budget.earn();
    state.metrics.first_sends.inc();
}

async fn give_up<'a, E: RequestEnvironment>(
    environment: &'a E,
    mut progress: SendProgress,
    in_flight: Vec<InFlight>,
    end: Unserved,
) -> Result<OpenedAttempt<'a, E>, Unserved> {
    for flight in in_flight {
        let failure = if flight.sent.is_set() {
            earn_if_first(environment, flight.second);
            AttemptFailure::unknown(ResultCode::DeadlineAfterSend)
        } else {
            AttemptFailure::not_sent()
        };
        progress.record_failure(failure, flight.reference);
    }
    match end {
        Unserved::Refused(refusal) => {
            let refusal = progress.give_up(environment, refusal).await;
            Err(Unserved::Refused(refusal))
        }
        Unserved::CallerDisconnected(_) => {
            let placeholder = Refusal::may_have_run(ResultCode::DeadlineAfterSend);
            let refusal = progress.give_up(environment, placeholder).await;
            Err(Unserved::CallerDisconnected(refusal.run))
        }
    }
}

fn deadline_refusal(progress: &SendProgress) -> Refusal {
    if progress.sends == 0 {
        Refusal::not_run(ResultCode::DeadlineBeforeSend)
    } else {
        Refusal::may_have_run(ResultCode::DeadlineAfterSend)
    }
}

fn refusal_of(failure: AttemptFailure) -> Refusal {
    let refusal = Refusal::may_have_run(failure.code);
    match failure.retry_after_ms {
        Some(millis) => refusal.with_retry_after(millis),
        None => refusal,
    }
}
