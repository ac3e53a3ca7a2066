//! A node's demand for one tenant's tokens, counted per lease time.

use millford_core::{Duration, MonotonicTime};

/// Tokens that a node requested in the current and the previous lease time.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandWindow {
    started_at: MonotonicTime,
    current: u64,
    previous: u64,
}

/// Result of advancing a window to the current time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WindowAdvance {
    /// The current lease time has not ended.
    Unchanged,
    /// The current lease time ended and became the previous one.
    Rotated,
    /// At least two lease times have passed; the demand of the previous one is 0.
    Idle,
}

impl WindowAdvance {
    /// Whether at least two lease times have passed.
    pub(super) fn is_idle(self) -> bool {
        self == Self::Idle
    }
}

impl DemandWindow {
    /// Creates a window without demand whose current lease time begins at `now`.
    pub(super) fn starting_at(now: MonotonicTime) -> Self {
        Self {
            started_at: now,
            current: 0,
            previous: 0,
        }
    }

    /// Adds requested tokens to the current lease time.
    pub(super) fn record(&mut self, tokens: u64) {
        self.current += tokens;
    }

    /// Returns the tokens requested in the previous lease time.
    pub(super) fn previous(&self) -> u64 {
        self.previous
    }

    /// Whether no tokens were requested in the current and the previous lease time.
    pub(super) fn is_empty(&self) -> bool {
        self.current == 0 && self.previous == 0
    }

    /// Starts a new lease time at `now` if the current one has ended.
    pub(super) fn advance(&mut self, now: MonotonicTime, lease: Duration) -> WindowAdvance {
        let age = now.since(self.started_at);
        if age < lease {
            return WindowAdvance::Unchanged;
        }
        let idle = age >= lease * 2;
        self.previous = if idle { 0 } else { self.current };
        self.current = 0;
        self.started_at = now;
        if idle {
            WindowAdvance::Idle
        } else {
            WindowAdvance::Rotated
        }
    }
}
