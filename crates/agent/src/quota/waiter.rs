//! A call that waits for quota.

use millford_core::MonotonicTime;

/// One ask of the proxy that is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Number that the proxy gave to its ask.
    pub request_id: u64,
    /// Whether it also needs a stream slot.
    pub needs_slot: bool,
    /// When it came.
    pub since: MonotonicTime,
    /// When the ask is given up.
    pub deadline: MonotonicTime,
}
