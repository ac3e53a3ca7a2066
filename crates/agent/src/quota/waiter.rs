//! A request of the proxy that waits for quota.

use millford_core::{Duration, MonotonicTime};

/// One quota request of the proxy that is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Id that the proxy gave to its quota request.
    pub request_id: u64,
    /// Whether it also needs a stream slot.
    pub needs_slot: bool,
    /// When it reached this agent.
    pub arrived: MonotonicTime,
    /// How long it had waited before that, at an agent process that has ended.
    pub waited_before: Duration,
    /// When it is refused for want of a decision.
    pub deadline: MonotonicTime,
}

impl Waiter {
    /// How long it has waited altogether.
    #[must_use]
    pub fn waited(&self, now: MonotonicTime) -> Duration {
        self.waited_before + now.since(self.arrived)
    }
}
