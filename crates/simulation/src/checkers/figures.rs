//! Worst measured figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::scenario::Figure;

/// Measured figures; times in milliseconds, shares in percent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    values: BTreeMap<Figure, u64>,
}

impl Figures {
    /// Keeps the larger of the value and what is there.
    pub fn raise(&mut self, figure: Figure, value: u64) {
        let largest = self.values.entry(figure).or_default();
        *largest = (*largest).max(value);
    }

    /// As [`Self::raise`], with a time. Returns it in milliseconds.
    pub fn raise_duration(&mut self, figure: Figure, duration: Duration) -> u64 {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        self.raise(figure, millis);
        millis
    }

    /// Keeps the smaller of the value and what is there.
    pub fn lower(&mut self, figure: Figure, value: u64) {
        let smallest = self.values.entry(figure).or_insert(value);
        *smallest = (*smallest).min(value);
    }

    /// Keeps the worse of two values: the smaller for what should be large.
    pub fn worsen(&mut self, figure: Figure, value: u64) {
        match figure {
            Figure::Served | Figure::Orders => self.lower(figure, value),
            _ => self.raise(figure, value),
        }
    }

    /// The value, if it was measured.
    #[must_use]
    pub fn get(&self, figure: Figure) -> Option<u64> {
        self.values.get(&figure).copied()
    }

    /// Takes the worse of each figure.
    pub fn merge(&mut self, other: &Figures) {
        for (figure, value) in &other.values {
            self.worsen(*figure, *value);
        }
    }
}
