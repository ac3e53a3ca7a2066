//! What the checkers found.

use millford_core::MonotonicTime;

use crate::checkers::figures::Figures;
use crate::checkers::guarantee::Guarantee;

/// A broken guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// True time at which it showed.
    pub at: MonotonicTime,
    /// The guarantee.
    pub guarantee: Guarantee,
    /// What happened.
    pub text: String,
}

/// Violations and figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Broken guarantees, in order.
    pub violations: Vec<Violation>,
    /// Worst figures.
    pub figures: Figures,
}

impl Verdict {
    /// Adds a violation.
    pub fn record_violation(&mut self, at: MonotonicTime, guarantee: Guarantee, text: String) {
        self.violations.push(Violation {
            at,
            guarantee,
            text,
        });
    }

    /// Whether a guarantee was broken.
    #[must_use]
    pub fn has(&self, guarantee: Guarantee) -> bool {
        let mut violations = self.violations.iter();
        violations.any(|violation| violation.guarantee == guarantee)
    }
}
