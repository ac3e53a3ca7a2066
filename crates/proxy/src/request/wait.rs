//! Waiting for something, the deadline or the caller's disconnect, whichever comes first.

use std::future::Future;
use std::pin::pin;

use futures::future::{Either, select};
use millford_core::MonotonicTime;

use crate::request::caller::CallerPresence;
use crate::request::environment::RequestEnvironment;

/// How a wait ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Waited<T> {
    /// It came.
    Ready(T),
    /// The time was up first.
    TimedOut,
    /// The caller disconnected first.
    CallerDisconnected,
}

/// Waits for `future` until the time `until`, as long as the caller is there.
///
/// What is ready is taken before the time is checked: after a freeze of the whole process an
/// answer that lies ready is not thrown away.
pub async fn wait_until<E, P, F>(
    environment: &E,
    presence: &P,
    until: MonotonicTime,
    future: F,
) -> Waited<F::Output>
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
        Either::Left((output, _)) => Waited::Ready(output),
        Either::Right((Either::Left(_), _)) => Waited::TimedOut,
        Either::Right((Either::Right(_), _)) => Waited::CallerDisconnected,
    }
}
