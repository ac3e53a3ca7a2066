//! What one check found.

use serde::Serialize;

/// What one check found.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The guarantee, in short.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// How many events were judged; 0 means that the run did not exercise the guarantee.
    pub judged: usize,
    /// Worst figure seen, for people.
    pub worst: Option<String>,
    /// One sentence for each violation.
    pub violations: Vec<String>,
}

impl Verdict {
    /// A verdict without events.
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
    pub fn violate(&mut self, text: String) {
        self.violations.push(text);
    }

    /// Whether there is no violation.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Microseconds as milliseconds, for people.
#[must_use]
pub fn millis_text(micros: u64) -> String {
    format!("{} ms", micros / 1_000)
}

/// Keeps the larger figure.
pub fn keep_worst(worst: &mut Option<u64>, figure: u64) {
    *worst = Some(worst.map_or(figure, |worst| worst.max(figure)));
}
