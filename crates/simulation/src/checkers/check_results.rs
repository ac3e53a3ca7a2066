//! Results of the checkers.

use millford_core::MonotonicTime;

use crate::checkers::figures::Figures;
use crate::checkers::guarantee::Guarantee;

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Simulated time at which it was detected.
    pub at: MonotonicTime,
    /// The violated guarantee.
    pub guarantee: Guarantee,
    /// Description with the affected requests, nodes or orders.
    pub text: String,
}

/// Violations and measured figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckResults {
    /// Violations in the order of their detection.
    pub violations: Vec<Violation>,
    /// Worst value of each measured figure.
    pub figures: Figures,
}

impl CheckResults {
    /// Adds a violation that was detected at simulated time `at`.
    pub fn record_violation(&mut self, at: MonotonicTime, guarantee: Guarantee, text: String) {
        self.violations.push(Violation {
            at,
            guarantee,
            text,
        });
    }

    /// Returns whether a guarantee was violated.
    #[must_use]
    pub fn has(&self, guarantee: Guarantee) -> bool {
        let mut violations = self.violations.iter();
        violations.any(|violation| violation.guarantee == guarantee)
    }
}
