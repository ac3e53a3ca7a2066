//! Send times of a request to the agent.

use millford_api::local::{LocalFrame, local_frame};
use millford_core::{Duration, MonotonicTime};

/// Times at which a request was first and last sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendTimes {
    first: MonotonicTime,
    last: MonotonicTime,
}

impl SendTimes {
    /// Creates the times of a request that is first sent at `now`.
    #[must_use]
    pub fn at(now: MonotonicTime) -> Self {
        Self {
            first: now,
            last: now,
        }
    }

    /// Returns whether a grant that is valid for `use_within` after the last send has expired. Without a
    /// limit it never does.
    #[must_use]
    pub fn is_late(&self, now: MonotonicTime, use_within: Option<Duration>) -> bool {
        use_within.is_some_and(|limit| now.since(self.last) >= limit)
    }

    /// Records that the request is sent again at `now`. In the frame of a quota request it updates the
    /// time waited and reduces the timeout by it; other frames are not changed.
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
