//! Decides which requests a draining node still accepts.

use millford_core::{Duration, MonotonicTime};

/// Time after the termination signal during which requests are accepted regardless of their deadlines, since callers
/// may not have noticed yet that the node is draining.
const ACCEPT_ALL_DURATION: Duration = Duration::from_millis(2800);

/// The time limits of a node that is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracefulShutdown {
    accepts_all_until: MonotonicTime,
    /// Latest end of the process.
    end: MonotonicTime,
}

impl GracefulShutdown {
    /// Begins a shutdown at `now` that takes at most `longest`.
    #[must_use]
    pub fn begin(now: MonotonicTime, longest: Duration) -> Self {
        Self {
            accepts_all_until: now + ACCEPT_ALL_DURATION.min(longest),
            end: now + longest,
        }
    }

    /// Whether a request with this `deadline` is still accepted. After the initial period, a request is accepted
    /// only if its deadline is not later than the latest end of the process, so that the shutdown cannot truncate its
    /// response.
    #[must_use]
    pub fn accepts(&self, now: MonotonicTime, deadline: MonotonicTime) -> bool {
        now < self.accepts_all_until || deadline <= self.end
    }
}
