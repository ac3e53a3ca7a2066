//! Quota requests from the proxy that wait for a decision.

use millford_core::{Duration, MonotonicTime};

/// One quota request from the proxy that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Request id assigned by the proxy.
    pub request_id: u64,
    /// Whether the request needs a stream slot in addition to a token.
    pub needs_slot: bool,
    /// Time at which the request arrived at this agent.
    pub arrived: MonotonicTime,
    /// Waiting time at a previous agent process, before the request arrived here.
    pub waited_before: Duration,
    /// Time at which the request is refused if no decision has been made.
    pub deadline: MonotonicTime,
}

impl Waiter {
    /// Returns the total waiting time, including that at a previous agent process.
    #[must_use]
    pub fn waited(&self, now: MonotonicTime) -> Duration {
        self.waited_before + now.since(self.arrived)
    }
}
