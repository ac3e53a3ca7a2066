//! What one check found.

use serde::Serialize;

/// What one check found.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The promise, in short.
    pub promise: &'static str,
    /// How many events were judged; 0 means that the run did not try the promise.
    pub judged: usize,
    /// Worst figure seen, for people.
    pub worst: Option<String>,
    /// One sentence for each violation.
    pub violations: Vec<String>,
}

impl Verdict {
    /// A verdict without events.
    #[must_use]
    pub fn new(promise: &'static str) -> Self {
        Self {
            promise,
            judged: 0,
            worst: None,
            violations: Vec::new(),
        }
    }

    /// Notes a violation.
    pub fn violate(&mut self, text: String) {
        self.violations.push(text);
    }

    /// Whether nothing broke the promise.
    #[must_use]
    pub fn held(&self) -> bool {
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
