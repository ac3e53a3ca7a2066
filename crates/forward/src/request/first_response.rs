//! Attempts at a request until one brings an answer that may go to the caller.

use millford_core::time::monotonic_now;
use millford_core::{Duration, ResultCode};
use millford_decisions::AttemptOutcome;

use crate::mechanism::Mechanism;
use crate::node::{DEFAULT_RETRY_AFTER, ForwardNode};
use crate::protocol::ForwardProtocol;
use crate::request::attempt::{AttemptFailure, Opened, attempt};
use crate::request::choose::choose;
use crate::request::plan::Plan;
use crate::request::refusal::Refusal;
use crate::request::trace::Trace;

/// Backends that one request may be offered to, those that it never left for included.
const MAX_BACKENDS_TRIED: usize = 6;

/// Backends that may refuse one request before it is given up.
const MAX_REFUSALS: u32 = 3;

/// What the attempts at one request have used up.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Backends that were tried.
    pub tried: Vec<String>,
    /// Sends that arrived or may have.
    pub sends: u32,
    /// Sends that the backend may have run.
    pub runs: u32,
    /// Sends that the backend refused.
    pub refusals: u32,
    /// What the decision record will say.
    pub trace: Trace,
}

/// The first answer that may go to the caller.
///
/// # Errors
/// Why there is none. A refusal that says "not run" is true: nothing left, or each backend that got
/// the request gave its word.
pub async fn first_response<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    plan: &Plan,
    history: &mut AttemptHistory,
) -> Result<Opened, Refusal> {
    let mut last = Refusal::new(ResultCode::NoBackend).with_retry_after(DEFAULT_RETRY_AFTER);
    node.state.budget.earn();
    while history.tried.len() < MAX_BACKENDS_TRIED {
        if plan.deadline <= monotonic_now() {
            return Err(out_of_time(history));
        }
        let Some(target) = choose(node, plan, &history.tried).await else {
            return Err(last);
        };
        // Every send after the first comes out of the fleet's budget, wherever it goes.
        let may_retry = node.mechanisms.has(Mechanism::Retries);
        if history.sends > 0 && !(may_retry && node.state.budget.try_spend()) {
            return Err(last);
        }
        history.tried.push(target.key.backend_id.clone());
        history.trace.chosen(&target);
        let tried = attempt(node, plan, target, None).await;
        history.trace.outcome(outcome_of(&tried));
        match tried {
            Ok(opened) => {
                history.sends += 1;
                history.runs += 1;
                return Ok(opened);
            }
            Err(AttemptFailure::NotSent) => {
                if history.sends > 0 {
                    node.state.budget.refund();
                }
            }
            Err(AttemptFailure::NotRun { retry_after }) => {
                history.sends += 1;
                history.refusals += 1;
                if history.runs == 0 {
                    last = busy(retry_after);
                }
                if history.refusals >= MAX_REFUSALS {
                    return Err(last);
                }
            }
            Err(AttemptFailure::Lost(code)) => {
                history.sends += 1;
                history.runs += 1;
                last = Refusal::new(code);
                if !plan.is_repeatable() || history.runs >= plan.max_runs() {
                    return Err(last);
                }
            }
            Err(AttemptFailure::TimedOut) => {
                return Err(Refusal::new(ResultCode::DeadlineAfterSend));
            }
        }
    }
    Err(last)
}

/// What the decision record says of an attempt.
#[must_use]
pub fn outcome_of(tried: &Result<Opened, AttemptFailure>) -> AttemptOutcome {
    match tried {
        Ok(_) => AttemptOutcome::Answered,
        Err(AttemptFailure::NotSent) => AttemptOutcome::NotSent,
        Err(AttemptFailure::NotRun { .. }) => AttemptOutcome::Refused,
        Err(AttemptFailure::Lost(_)) => AttemptOutcome::Lost,
        Err(AttemptFailure::TimedOut) => AttemptOutcome::TimedOut,
    }
}

fn busy(retry_after: Option<Duration>) -> Refusal {
    let delay = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
    Refusal::new(ResultCode::BackendRefused).with_retry_after(delay)
}

fn out_of_time(history: &AttemptHistory) -> Refusal {
    if history.runs > 0 {
        return Refusal::new(ResultCode::DeadlineAfterSend);
    }
    Refusal::new(ResultCode::Overloaded).with_retry_after(DEFAULT_RETRY_AFTER)
}
