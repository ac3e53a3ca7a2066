//! When a request to the agent was sent.

use millford_api::local::{LocalFrame, local_frame};
use millford_core::{Duration, MonotonicTime};

/// When a request that may be sent again was first sent, and when last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendTimes {
    first: MonotonicTime,
    last: MonotonicTime,
}

impl SendTimes {
    /// A request that is sent for the first time.
    #[must_use]
    pub fn at(now: MonotonicTime) -> Self {
        Self {
            first: now,
            last: now,
        }
    }

    /// Whether a grant that may be used for `use_within` since the last sending is void.
    #[must_use]
    pub fn is_late(&self, now: MonotonicTime, use_within: Option<Duration>) -> bool {
        use_within.is_some_and(|limit| now.since(self.last) >= limit)
    }

    /// The request is sent again. A quota request then states how long it has waited, and what is
    /// left of its time; other frames stay as they are.
    pub fn renew(&mut self, now: MonotonicTime, frame: &mut LocalFrame) {
        self.last = now;
        let Some(local_frame::Body::QuotaRequest(request)) = &mut frame.body else {
            return;
        };
        let waited = millis(now.since(self.first));
        request.waited_ms = waited;
        request.timeout_ms = request.timeout_ms.saturating_sub(waited);
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
