//! Credit for requests that waited at nodes without contact to the leader.

use millford_core::MonotonicTime;

use super::options::OUTAGE_RETURN_WINDOW;

/// Tokens that the rate yielded during an outage, in whole tokens. All nodes that reconnect after
/// the same outage share them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutageCredit {
    active: Option<ActiveCredit>,
}

#[derive(Clone, Copy, Debug)]
struct ActiveCredit {
    tokens: u64,
    expires_at: MonotonicTime,
}

impl OutageCredit {
    /// Returns the credit in whole tokens; 0 when there is none.
    pub(super) fn tokens(&self) -> u64 {
        self.active.map_or(0, |credit| credit.tokens)
    }

    /// Whether there is a credit that has not expired.
    pub(super) fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// Records that a node reconnected after an outage in which the rate yielded `tokens`. The
    /// largest recorded value is the credit.
    pub(super) fn record(&mut self, now: MonotonicTime, tokens: u64) {
        if tokens > self.tokens() {
            let expires_at = now + OUTAGE_RETURN_WINDOW;
            self.active = Some(ActiveCredit { tokens, expires_at });
        }
    }

    /// Removes an expired credit and returns its tokens; `None` when no credit has expired.
    pub(super) fn expire(&mut self, now: MonotonicTime) -> Option<u64> {
        let expired = self.active.take_if(|credit| credit.expires_at <= now)?;
        Some(expired.tokens)
    }
}
