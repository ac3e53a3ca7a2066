//! Credit for requests that waited where the leader could not know of them.

use millford_core::MonotonicTime;

use super::options::OUTAGE_RETURN_WINDOW;

/// What the rate accrued in an outage, in whole tokens. Nodes that return from one outage share it.
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
    /// Whole tokens of the credit; 0 without one.
    pub(super) fn tokens(&self) -> u64 {
        self.active.map_or(0, |credit| credit.tokens)
    }

    /// Whether a credit has not expired yet.
    pub(super) fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// A node returned for whose requests the rate accrued `tokens` meanwhile. The largest counts.
    pub(super) fn record(&mut self, now: MonotonicTime, tokens: u64) {
        if tokens > self.tokens() {
            let expires_at = now + OUTAGE_RETURN_WINDOW;
            self.active = Some(ActiveCredit { tokens, expires_at });
        }
    }

    /// Ends a credit whose time is over and returns its tokens.
    pub(super) fn expire(&mut self, now: MonotonicTime) -> Option<u64> {
        let expired = self.active.take_if(|credit| credit.expires_at <= now)?;
        Some(expired.tokens)
    }
}
