//! Waits for a future, a time limit or the caller's disconnect, whichever comes first.

use std::future::Future;
use std::pin::pin;

use futures::future::{Either, select};
use millford_core::MonotonicTime;

use crate::request::caller::CallerPresence;
use crate::request::environment::RequestEnvironment;

/// Result of a wait.
#[derive(Debug, PartialEq, Eq)]
pub enum WaitOutcome<T> {
    /// The future completed with this output.
    Ready(T),
    /// The time limit passed first.
    TimedOut,
    /// The caller disconnected first.
    CallerDisconnected,
}

/// Waits for `future` until the time `until` or the caller's disconnect.
///
/// The future is polled before the timer, so that an answer that is already available is not
/// discarded after the whole process was suspended.
pub async fn wait_until<E, P, F>(
    environment: &E,
    presence: &P,
    until: MonotonicTime,
    future: F,
) -> WaitOutcome<F::Output>
where
    E: RequestEnvironment,
    P: CallerPresence,
    F: Future,
{
    let left = until.since(environment.now());
    let future = pin!(future);
    let timer = pin!(environment.sleep(left));
    let disconnected = pin!(presence.disconnected());
    match select(future, select(timer, disconnected)).await {
        Either::Left((output, _)) => WaitOutcome::Ready(output),
        Either::Right((Either::Left(_), _)) => WaitOutcome::TimedOut,
        Either::Right((Either::Right(_), _)) => WaitOutcome::CallerDisconnected,
    }
}
