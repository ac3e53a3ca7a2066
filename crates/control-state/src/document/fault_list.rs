//! Collects the faults of a check.

use millford_core::ResultCode;

use super::fault::Fault;

/// Faults in the order in which they were found.
#[derive(Debug, Default)]
pub(super) struct FaultList {
    faults: Vec<Fault>,
}

impl FaultList {
    /// Adds a breach of a rule.
    pub(super) fn add(&mut self, path: impl Into<String>, text: impl Into<String>) {
        self.faults.push(Fault {
            path: path.into(),
            code: ResultCode::DocumentInvalid,
            text: text.into(),
        });
    }

    /// Adds a fault unless `value` lies in `range`. `unit` follows the numbers in the text.
    pub(super) fn range(
        &mut self,
        path: String,
        value: u32,
        range: std::ops::RangeInclusive<u32>,
        unit: &str,
    ) {
        if range.contains(&value) {
            return;
        }
        let (low, high) = (range.start(), range.end());
        self.add(
            path,
            format!("{value} is out of range; allowed are {low} to {high}{unit}"),
        );
    }

    /// Adds a fault when a list is longer than allowed.
    pub(super) fn count(&mut self, path: impl Into<String>, count: usize, limit: usize) {
        if count > limit {
            self.add(
                path,
                format!("{count} entries; at most {limit} are allowed"),
            );
        }
    }

    /// What was found.
    pub(super) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }
}
