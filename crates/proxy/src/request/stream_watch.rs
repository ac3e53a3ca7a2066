//! Watches the backend of a waiting request: inactivity, ejection, drain.

use std::future::Future;
use std::pin::pin;

use futures::future::{Either, select};
use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_routing::EjectionReason;

use crate::request::environment::RequestEnvironment;
use crate::request::failure::AttemptFailure;
use crate::request::plan::RequestPlan;

/// A gap between two checks counts as at most this many times the usual one.
///
/// When the whole process was frozen, inactivity during the freeze says nothing about the backend.
const LARGEST_COUNTED_GAP: u32 = 2;

/// Inactivity beyond this many timeouts ends a stream even if no other backend responds.
const LONE_INACTIVITY_FACTOR: u32 = 2;

/// Result of a check of a stream's backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchVerdict {
    /// Keep waiting.
    Wait,
    /// Inactive for too long: the backend is ejected.
    Unresponsive,
    /// The drain time of the backend is over.
    Drained,
    /// The proxy itself stops now.
    Stopping,
}

/// Runs a future until its backend has been unresponsive for too long and is ejected for it.
///
/// Ejection alone is not enough: a probe may fail on a busy machine while the answer is on its way.
///
/// # Errors
/// Fails with the future's own failure, or when the backend is ejected.
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
        // Checks are counted, not time: after a freeze of this process nothing is held against it.
        waited += check;
        let ejected = state.health.ejection(backend_id) == Some(EjectionReason::Unresponsive);
        if ejected && waited >= state.limits.stream_inactivity_timeout {
            return Err(AttemptFailure::unknown(ResultCode::BackendSilent));
        }
    }
}

/// Inactivity and drain of one open stream.
#[derive(Debug)]
pub struct StreamWatch {
    inactive_for: Duration,
    looked_at: MonotonicTime,
    draining_since: Option<MonotonicTime>,
}

impl StreamWatch {
    /// A watch that starts at the time of the first chunk.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            inactive_for: Duration::ZERO,
            looked_at: now,
            draining_since: None,
        }
    }

    /// A chunk came.
    pub fn record_activity(&mut self, now: MonotonicTime) {
        self.inactive_for = Duration::ZERO;
        self.looked_at = now;
    }

    /// Whether the backend drains.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Checks the backend after a while without a chunk, or between two chunks.
    pub fn check<E: RequestEnvironment>(
        &mut self,
        environment: &E,
        plan: &RequestPlan,
        backend_id: &str,
    ) -> WatchVerdict {
        let now = environment.now();
        let limits = &environment.state().limits;
        let counted_gap = limits.backend_check_interval * LARGEST_COUNTED_GAP;
        self.inactive_for += now.since(self.looked_at).min(counted_gap);
        self.looked_at = now;
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
        let others_go_on = state
            .health
            .others_responsive(backend_id, environment.now(), limit);
        let already_ejected = !state.health.is_usable(backend_id);
        others_go_on || already_ejected || self.inactive_for >= limit * LONE_INACTIVITY_FACTOR
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
        // Checks come every `backend_check_interval`: one less than the pool's time keeps within it.
        let allowed = pool
            .drain
            .saturating_sub(environment.state().limits.backend_check_interval * 2);
        now.since(since) >= allowed
    }
}
