//! Verdict of one check.

use serde::Serialize;

/// Result of checking one guarantee.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Short text of the guarantee.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// Number of events that were checked; 0 means that the run did not exercise the guarantee.
    pub judged: usize,
    /// Worst measured value, with its unit; absent if nothing was measured.
    pub worst: Option<String>,
    /// One sentence for each violation.
    pub violations: Vec<String>,
}

impl Verdict {
    /// Creates a verdict without events or violations.
    #[must_use]
    pub fn new(guarantee: &'static str) -> Self {
        Self {
            guarantee,
            judged: 0,
            worst: None,
            violations: Vec::new(),
        }
    }

    /// Records a violation.
    pub fn record_violation(&mut self, text: String) {
        self.violations.push(text);
    }

    /// Returns whether there is no violation.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Formats a time as whole milliseconds with the unit.
#[must_use]
pub fn millis_text(micros: u64) -> String {
    format!("{} ms", micros / 1_000)
}

/// Replaces `worst` by `figure` if it is absent or smaller.
pub fn keep_worst(worst: &mut Option<u64>, figure: u64) {
    *worst = Some(worst.map_or(figure, |worst| worst.max(figure)));
}
