//! List in which the checks collect faults.

use std::ops::RangeInclusive;

use millford_core::ResultCode;

use super::super::fault::Fault;

/// Faults in the order in which they were found.
#[derive(Debug, Default)]
pub(super) struct FaultList {
    faults: Vec<Fault>,
}

/// Unit of the numbers in a fault's text.
#[derive(Clone, Copy, Debug)]
pub(super) enum Unit {
    /// A number without a unit.
    None,
    Milliseconds,
    Percent,
}

impl Unit {
    fn suffix(self) -> &'static str {
        match self {
            Unit::None => "",
            Unit::Milliseconds => " ms",
            Unit::Percent => " percent",
        }
    }
}

impl FaultList {
    /// Adds a violation of a rule.
    pub(super) fn add(&mut self, path: impl Into<String>, text: impl Into<String>) {
        self.faults.push(Fault {
            path: path.into(),
            code: ResultCode::DocumentInvalid,
            text: text.into(),
        });
    }

    /// Adds a fault unless `value` lies in `range`.
    pub(super) fn check_range(
        &mut self,
        path: String,
        value: u32,
        range: &RangeInclusive<u32>,
        unit: Unit,
    ) {
        if range.contains(&value) {
            return;
        }
        let (low, high) = (range.start(), range.end());
        let suffix = unit.suffix();
        let text = format!("{value} is out of range; the allowed range is {low} to {high}{suffix}");
        self.add(path, text);
    }

    /// Adds a fault when a list is longer than allowed.
    pub(super) fn check_count(&mut self, path: impl Into<String>, count: usize, limit: usize) {
        if count > limit {
            let text = format!("{count} entries; at most {limit} are allowed");
            self.add(path, text);
        }
    }

    /// Returns the faults in the order in which they were added.
    pub(super) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }
}
