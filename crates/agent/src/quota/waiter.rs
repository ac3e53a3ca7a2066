//! A call that waits for quota.

use millford_core::{Duration, MonotonicTime};

/// One ask of the proxy that is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Number that the proxy gave to its ask.
    pub request_id: u64,
    /// Whether it also needs a stream slot.
    pub needs_slot: bool,
    /// When it came to this agent.
    pub arrived: MonotonicTime,
    /// How long it had waited before that, for an agent that is gone.
    pub waited_before: Duration,
    /// When the ask is given up.
    pub deadline: MonotonicTime,
}

impl Waiter {
    /// How long it has waited in all.
    #[must_use]
    pub fn waited(&self, now: MonotonicTime) -> Duration {
        self.waited_before + now.since(self.arrived)
    }
}
