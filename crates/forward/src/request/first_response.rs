//! Attempts at a request until one brings a response that may go to the caller.

use std::ops::ControlFlow;

use millford_core::time::monotonic_now;
use millford_core::{Duration, ResultCode};
use millford_decisions::AttemptOutcome;

use crate::mechanism::Mechanism;
use crate::node::{DEFAULT_RETRY_AFTER, ForwardNode};
use crate::protocol::ForwardProtocol;
use crate::request::attempt::{AttemptFailure, OpenResponse, attempt};
use crate::request::choose::{Target, choose};
use crate::request::plan::Plan;
use crate::request::refusal::Refusal;
use crate::request::trace::Trace;

/// Backends that may be tried for one request, those that it was never sent to included.
const MAX_BACKENDS_TRIED: usize = 6;

/// Backends that may refuse one request before it is given up.
const MAX_REFUSALS: u32 = 3;

/// What the attempts at one request have used up.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Backends that were tried.
    pub tried: Vec<String>,
    /// Dispatches that arrived or may have.
    pub sends: u32,
    /// Dispatches that the backend may have run.
    pub runs: u32,
    /// Dispatches that the backend refused.
    pub refusals: u32,
    /// What the decision record will say.
    pub trace: Trace,
}

/// The first response that may go to the caller.
///
/// # Errors
/// Why there is none. A refusal that says "not run" is true: nothing was sent, or each backend that got
/// the request declared it.
pub async fn first_response<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    history: &mut AttemptHistory,
) -> Result<OpenResponse, Refusal> {
    let mut refusal = Refusal::new(ResultCode::NoBackend).with_retry_after(DEFAULT_RETRY_AFTER);
    node.state.budget.earn();
    while history.tried.len() < MAX_BACKENDS_TRIED {
        if plan.deadline <= monotonic_now() {
            return Err(out_of_time(history));
        }
        let Some(target) = choose(node, plan, &history.tried).await else {
            return Err(refusal);
        };
        if !may_send(node, history) {
            return Err(refusal);
        }
        match try_backend(node, plan, history, target, None).await {
            Ok(opened) => {
                history.sends += 1;
                history.runs += 1;
                return Ok(opened);
            }
            Err(failure) => match after_failure(node, plan, history, failure, refusal) {
                ControlFlow::Continue(next) => refusal = next,
                ControlFlow::Break(last) => return Err(last),
            },
        }
    }
    Err(refusal)
}

/// Sends the request to a backend and records what came of it.
///
/// # Errors
/// See [`AttemptFailure`].
pub async fn try_backend<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    history: &mut AttemptHistory,
    target: Target,
    resume_after: Option<u64>,
) -> Result<OpenResponse, AttemptFailure> {
    history.tried.push(target.key.backend_id.clone());
    history.trace.chosen(&target);
    let result = attempt(node, plan, target, resume_after).await;
    history.trace.outcome(outcome_of(&result));
    result
}

/// Every dispatch after the first comes out of the fleet's retry budget, wherever it goes.
fn may_send<P: ForwardProtocol>(node: &ForwardNode<P>, history: &AttemptHistory) -> bool {
    let may_retry = node.mechanisms.has(Mechanism::Retries);
    history.sends == 0 || (may_retry && node.state.budget.try_spend())
}

/// Accounts for a failed attempt. `refusal` is what the caller would get so far; it goes on to the next
/// attempt, or back to the caller.
fn after_failure<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    history: &mut AttemptHistory,
    failure: AttemptFailure,
    refusal: Refusal,
) -> ControlFlow<Refusal, Refusal> {
    match failure {
        AttemptFailure::NotSent => {
            if history.sends > 0 {
                node.state.budget.refund();
            }
            ControlFlow::Continue(refusal)
        }
        AttemptFailure::NotRun { retry_after } => {
            history.sends += 1;
            history.refusals += 1;
            // Once the request may have run, no later refusal may say that it did not.
            let refusal = match history.runs {
                0 => backend_refused(retry_after),
                _ => refusal,
            };
            if history.refusals >= MAX_REFUSALS {
                ControlFlow::Break(refusal)
            } else {
                ControlFlow::Continue(refusal)
            }
        }
        AttemptFailure::Lost(code) => {
            history.sends += 1;
            history.runs += 1;
            let refusal = Refusal::new(code);
            if plan.is_repeatable() && history.runs < plan.max_runs() {
                ControlFlow::Continue(refusal)
            } else {
                ControlFlow::Break(refusal)
            }
        }
        AttemptFailure::TimedOut => ControlFlow::Break(Refusal::new(ResultCode::DeadlineAfterSend)),
    }
}

/// What the decision record says of an attempt.
fn outcome_of(result: &Result<OpenResponse, AttemptFailure>) -> AttemptOutcome {
    match result {
        Ok(_) => AttemptOutcome::Answered,
        Err(AttemptFailure::NotSent) => AttemptOutcome::NotSent,
        Err(AttemptFailure::NotRun { .. }) => AttemptOutcome::Refused,
        Err(AttemptFailure::Lost(_)) => AttemptOutcome::Lost,
        Err(AttemptFailure::TimedOut) => AttemptOutcome::TimedOut,
    }
}

fn backend_refused(retry_after: Option<Duration>) -> Refusal {
    let delay = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
    Refusal::new(ResultCode::BackendRefused).with_retry_after(delay)
}

fn out_of_time(history: &AttemptHistory) -> Refusal {
    if history.runs > 0 {
        return Refusal::new(ResultCode::DeadlineAfterSend);
    }
    Refusal::new(ResultCode::Overloaded).with_retry_after(DEFAULT_RETRY_AFTER)
}
