//! Which requests a draining node still accepts.

use millford_core::{Duration, MonotonicTime};

/// For this long after the signal requests are accepted whatever deadline they have: callers may not have
/// noticed yet that the node drains.
const ACCEPT_ALL_FOR: Duration = Duration::from_millis(2800);

/// When a node began to drain, and when its process ends at the latest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulShutdown {
    accepts_all_until: MonotonicTime,
    end: MonotonicTime,
}

impl GracefulShutdown {
    /// A shutdown that begins now and takes at most `longest`.
    #[must_use]
    pub fn begin(now: MonotonicTime, longest: Duration) -> Self {
        Self {
            accepts_all_until: now + ACCEPT_ALL_FOR.min(longest),
            end: now + longest,
        }
    }

    /// Whether a request with this `deadline` is still accepted: later ones only if the process cannot end
    /// before them, since its end would truncate their responses.
    #[must_use]
    pub fn accepts(&self, now: MonotonicTime, deadline: MonotonicTime) -> bool {
        now < self.accepts_all_until || deadline <= self.end
    }
}
