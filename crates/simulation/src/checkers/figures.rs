//! Measured figures of a run: the worst value of each.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::scenario::Figure;

/// Worst measured value of each figure; times in milliseconds, shares in percent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    values: BTreeMap<Figure, u64>,
}

impl Figures {
    /// Records a value; the figure becomes the larger of it and the present value.
    pub fn raise(&mut self, figure: Figure, value: u64) {
        let largest = self.values.entry(figure).or_default();
        *largest = (*largest).max(value);
    }

    /// Records a duration as [`Self::raise`] does. Returns it in milliseconds.
    pub fn raise_duration(&mut self, figure: Figure, duration: Duration) -> u64 {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        self.raise(figure, millis);
        millis
    }

    /// Records a value; the figure becomes the smaller of it and the present value.
    pub fn lower(&mut self, figure: Figure, value: u64) {
        let smallest = self.values.entry(figure).or_insert(value);
        *smallest = (*smallest).min(value);
    }

    /// Records a value; the figure becomes the worse of it and the present value.
    pub fn worsen(&mut self, figure: Figure, value: u64) {
        match figure {
            Figure::Served | Figure::Orders => self.lower(figure, value),
            _ => self.raise(figure, value),
        }
    }

    /// Returns the value of a figure; `None` if it was not measured.
    #[must_use]
    pub fn get(&self, figure: Figure) -> Option<u64> {
        self.values.get(&figure).copied()
    }

    /// Records every figure of another run.
    pub fn merge(&mut self, other: &Figures) {
        for (figure, value) in &other.values {
            self.worsen(*figure, *value);
        }
    }
}
