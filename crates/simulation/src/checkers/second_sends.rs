//! Checks that second sends are at most a fifth of first sends, over the whole fleet and at any time.

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::history::Record;
use crate::scenario::Figure;

/// Number of first sends that each second send requires.
const MIN_FIRST_SENDS_PER_SECOND_SEND: u64 = 5;
const PERCENT: u64 = 100;

/// Counts first and second sends.
#[derive(Default)]
pub struct SecondSendsChecker {
    first: u64,
    second: u64,
    reported: bool,
}

impl Checker for SecondSendsChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        let Record::Dispatched { second, .. } = record else {
            return;
        };
        if !second {
            self.first += 1;
            return;
        }
        self.second += 1;
        let share = self.second * PERCENT / self.first.max(1);
        results.figures.raise(Figure::SecondSends, share);
        if self.second * MIN_FIRST_SENDS_PER_SECOND_SEND > self.first && !self.reported {
            self.reported = true;
            let text = format!(
                "{} second sends for {} first sends",
                self.second, self.first
            );
            results.record_violation(at, Guarantee::SecondSends, text);
        }
    }

    fn finish(&mut self, _at: MonotonicTime, results: &mut CheckResults) {
        let share = self.second * PERCENT / self.first.max(1);
        results.figures.raise(Figure::SecondSends, share);
    }
}
