//! Interface of a checker.

use millford_core::MonotonicTime;

use crate::checkers::verdict::Verdict;
use crate::history::Record;

/// Watches the history as it grows.
pub trait Checker {
    /// Takes the next record; records come in the order of their times.
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict);

    /// The run is over.
    fn finish(&mut self, _at: MonotonicTime, _verdict: &mut Verdict) {}
}
