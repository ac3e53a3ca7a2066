//! Interface of a checker.

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::history::Record;

/// Evaluates the history of a run, record by record.
pub trait Checker {
    /// Evaluates the next record, which happened at the simulated time `at`. Records come in order of time.
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults);

    /// Evaluates the end of the run. By default it does nothing.
    fn finish(&mut self, _at: MonotonicTime, _verdict: &mut CheckResults) {}
}
