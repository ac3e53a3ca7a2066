//! Which requests a leaving node still takes.

use millford_core::{Duration, MonotonicTime};

/// For this long after the signal requests are taken whatever time they have: callers may not have heard
/// yet that the node leaves.
const ACCEPT_ALL_FOR: Duration = Duration::from_millis(2800);

/// When a node began to leave, and when its process ends at the latest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulShutdown {
    accepts_all_until: MonotonicTime,
    end: MonotonicTime,
}

impl GracefulShutdown {
    /// A node that leaves from now on, within `longest`.
    #[must_use]
    pub fn begin(now: MonotonicTime, longest: Duration) -> Self {
        Self {
            accepts_all_until: now + ACCEPT_ALL_FOR.min(longest),
            end: now + longest,
        }
    }

    /// Whether a request that has to be answered by `deadline` is still taken: late ones only if the
    /// process cannot end before them, since its end would break them off.
    #[must_use]
    pub fn accepts(&self, now: MonotonicTime, deadline: MonotonicTime) -> bool {
        now < self.accepts_all_until || deadline <= self.end
    }
}
