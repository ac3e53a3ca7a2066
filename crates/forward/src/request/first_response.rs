//! Attempts a request until a backend returns a response that may be forwarded to the caller.

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

/// Most backends that are tried for one request, including those that it could not be sent to.
const MAX_BACKENDS_TRIED: usize = 6;

/// Number of refusals by backends after which a request is no longer retried.
const MAX_REFUSALS: u32 = 3;

/// The attempts made so far at one request.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Ids of the backends that were tried.
    pub tried: Vec<String>,
    /// Attempts whose request reached a backend or may have reached it.
    pub sends: u32,
    /// Attempts that ran on a backend or may have run.
    pub runs: u32,
    /// Attempts that did not run, as the backend declared.
    pub refusals: u32,
    /// Collects the data of the decision record.
    pub trace: Trace,
}

/// Returns the first response that may be forwarded to the caller.
///
/// # Errors
/// Returns the refusal to send to the caller if no attempt succeeded. A refusal whose code guarantees that the
/// request did not run is returned only if nothing was sent, or if every backend that received the request
/// declared that it did not run it.
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

/// Attempts the request on `target`. Records the backend and the outcome in `history`, but not the counts of sends,
/// runs and refusals, which the caller of this function updates.
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
    history.trace.record_choice(&target);
    let result = attempt(node, plan, target, resume_after).await;
    history.trace.record_outcome(outcome_of(&result));
    result
}

/// Whether another attempt may be sent. Each attempt after the first is taken out of the node's retry budget,
/// whichever backend it goes to.
fn may_send<P: ForwardProtocol>(node: &ForwardNode<P>, history: &AttemptHistory) -> bool {
    let may_retry = node.mechanisms.has(Mechanism::Retries);
    history.sends == 0 || (may_retry && node.state.budget.try_spend())
}

/// Updates `history` after a failed attempt. `refusal` is what the caller would receive if there were no more
/// attempts. Returns the refusal that applies now: `Continue` if the request may be retried, `Break` if the
/// caller is to receive it.
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
            // Once an attempt may have run, the caller must not receive a refusal that guarantees it did not.
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

/// Returns the outcome of an attempt as the decision record has it.
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
