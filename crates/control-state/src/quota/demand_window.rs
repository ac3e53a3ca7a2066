//! A node's demand for one tenant's tokens, by lease time.

use millford_core::{Duration, MonotonicTime};

/// Tokens that a node requested in the present and the previous lease time.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandWindow {
    started_at: MonotonicTime,
    current: u64,
    previous: u64,
}

/// What the passing of time did to a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WindowAdvance {
    /// The present lease time goes on.
    Unchanged,
    /// The present lease time became the previous one.
    Rotated,
    /// Two lease times passed: there is no previous demand.
    Idle,
}

impl WindowAdvance {
    /// Whether two lease times passed.
    pub(super) fn is_idle(self) -> bool {
        self == Self::Idle
    }
}

impl DemandWindow {
    /// A window without demand.
    pub(super) fn starting_at(now: MonotonicTime) -> Self {
        Self {
            started_at: now,
            current: 0,
            previous: 0,
        }
    }

    /// Adds requested tokens.
    pub(super) fn record(&mut self, tokens: u64) {
        self.current += tokens;
    }

    /// Tokens requested in the previous lease time.
    pub(super) fn previous(&self) -> u64 {
        self.previous
    }

    /// Whether nothing was requested in the present and the previous lease time.
    pub(super) fn is_empty(&self) -> bool {
        self.current == 0 && self.previous == 0
    }

    /// Brings the window to `now`.
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
