//! Monitors the backend of a request in progress for inactivity, ejection and drain.

use std::future::Future;
use std::pin::pin;

use futures::future::{Either, select};
use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_routing::EjectionReason;

use crate::request::environment::RequestEnvironment;
use crate::request::failure::AttemptFailure;
use crate::request::plan::RequestPlan;

/// The time between two checks counts as inactivity for at most this many check intervals.
///
/// The limit keeps a suspension of the whole process, during which a lack of chunks is no sign of a
/// fault, from counting in full as inactivity of the backend.
const MAX_COUNTED_INTERVALS: u32 = 2;

/// Inactivity of this many timeouts interrupts a stream even if no other backend responds.
const UNCONDITIONAL_INACTIVITY_FACTOR: u32 = 2;

/// Result of checking a stream's backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchVerdict {
    /// The backend may still send the next chunk: keep waiting.
    Wait,
    /// The backend was inactive for too long and is to be ejected.
    Unresponsive,
    /// The drain time of the backend has passed.
    Drained,
    /// The proxy itself is stopping.
    Stopping,
}

/// Runs a future, and cancels it if its backend is ejected as unresponsive and the inactivity
/// timeout has passed.
///
/// Ejection alone does not cancel it: a probe may fail on a busy machine while the answer is on its
/// way.
///
/// # Errors
/// Fails with the future's own failure, or when the future is cancelled.
pub async fn until_ejected<E: RequestEnvironment, T>(
    environment: &E,
    backend_id: &str,
    future: impl Future<Output = Result<T, AttemptFailure>>,
) -> Result<T, AttemptFailure> {
    let state = environment.state();
    let mut future = pin!(future);
    let mut waited = Duration::ZERO;
    let check = state.limits.backend_check_interval;
    loop {
        let pause = pin!(environment.sleep(check));
        match select(future.as_mut(), pause).await {
            Either::Left((output, _)) => return output,
            Either::Right(_) => {}
        }
        // Check intervals are counted rather than elapsed time, so that a suspension of this
        // process does not count as inactivity of the backend.
        waited += check;
        let ejected = state.health.ejection(backend_id) == Some(EjectionReason::Unresponsive);
        if ejected && waited >= state.limits.stream_inactivity_timeout {
            return Err(AttemptFailure::unknown(ResultCode::BackendSilent));
        }
    }
}

/// Tracks inactivity and drain of the backend of one open stream.
#[derive(Debug)]
pub struct StreamWatch {
    inactive_for: Duration,
    checked_at: MonotonicTime,
    draining_since: Option<MonotonicTime>,
}

impl StreamWatch {
    /// Starts tracking at the time of the first chunk.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            inactive_for: Duration::ZERO,
            checked_at: now,
            draining_since: None,
        }
    }

    /// Records that a chunk arrived, which resets the inactivity.
    pub fn record_activity(&mut self, now: MonotonicTime) {
        self.inactive_for = Duration::ZERO;
        self.checked_at = now;
    }

    /// Returns whether the backend was draining at the last check.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Checks the backend. Called before each wait for a chunk, and again at every check interval
    /// during the wait.
    pub fn check<E: RequestEnvironment>(
        &mut self,
        environment: &E,
        plan: &RequestPlan,
        backend_id: &str,
    ) -> WatchVerdict {
        let now = environment.now();
        let limits = &environment.state().limits;
        let max_counted = limits.backend_check_interval * MAX_COUNTED_INTERVALS;
        self.inactive_for += now.since(self.checked_at).min(max_counted);
        self.checked_at = now;
        if environment.state().is_stopping() {
            return WatchVerdict::Stopping;
        }
        if self.is_unresponsive(environment, backend_id) {
            return WatchVerdict::Unresponsive;
        }
        if self.drain_is_over(environment, plan, backend_id) {
            return WatchVerdict::Drained;
        }
        WatchVerdict::Wait
    }

    fn is_unresponsive<E: RequestEnvironment>(&self, environment: &E, backend_id: &str) -> bool {
        let state = environment.state();
        let limit = state.limits.stream_inactivity_timeout;
        if self.inactive_for < limit {
            return false;
        }
        let others_responsive =
            state
                .health
                .others_responsive(backend_id, environment.now(), limit);
        let already_ejected = !state.health.is_usable(backend_id);
        others_responsive
            || already_ejected
            || self.inactive_for >= limit * UNCONDITIONAL_INACTIVITY_FACTOR
    }

    fn drain_is_over<E: RequestEnvironment>(
        &mut self,
        environment: &E,
        plan: &RequestPlan,
        backend_id: &str,
    ) -> bool {
        let now = environment.now();
        let table = environment.state().table();
        let Some(pool) = table.pool(&plan.route.pool) else {
            return false;
        };
        if pool.backend_is_active(backend_id) {
            self.draining_since = None;
            return false;
        }
        let since = *self.draining_since.get_or_insert(now);
        // Two check intervals are subtracted, so that the stream is interrupted within the pool's
        // drain time although the drain is seen only at the next check.
        let allowed = pool
            .drain
            .saturating_sub(environment.state().limits.backend_check_interval * 2);
        now.since(since) >= allowed
    }
}
