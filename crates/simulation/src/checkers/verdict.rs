//! What the checkers found.

use millford_core::MonotonicTime;

use crate::checkers::figures::Figures;
use crate::checkers::promise::Promise;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// True time at which it showed.
    pub at: MonotonicTime,
    /// The promise.
    pub promise: Promise,
    /// What happened.
    pub text: String,
}

/// Violations and figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Broken promises, in order.
    pub violations: Vec<Violation>,
    /// Worst figures.
    pub figures: Figures,
}

impl Verdict {
    /// Adds a violation.
    pub fn broken(&mut self, at: MonotonicTime, promise: Promise, text: String) {
        self.violations.push(Violation { at, promise, text });
    }

    /// Whether a promise was broken.
    #[must_use]
    pub fn has(&self, promise: Promise) -> bool {
        let mut violations = self.violations.iter();
        violations.any(|violation| violation.promise == promise)
    }
}
