//! Second sends stay within a fifth of first sends, fleet-wide, at every moment.

use millford_core::MonotonicTime;

use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::verdict::Verdict;
use crate::history::Record;
use crate::scenario::Figure;

const SHARE_DIVISOR: u64 = 5;
const PERCENT: u64 = 100;

/// Counts sends.
#[derive(Default)]
pub struct SecondSendsChecker {
    first: u64,
    second: u64,
    reported: bool,
}

impl Checker for SecondSendsChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        let Record::Dispatched { second, .. } = record else {
            return;
        };
        if !second {
            self.first += 1;
            return;
        }
        self.second += 1;
        let share = self.second * PERCENT / self.first.max(1);
        verdict.figures.raise(Figure::SecondSends, share);
        if self.second * SHARE_DIVISOR > self.first && !self.reported {
            self.reported = true;
            let text = format!("{} second sends on {} first", self.second, self.first);
            verdict.record_violation(at, Guarantee::SecondSends, text);
        }
    }

    fn finish(&mut self, _at: MonotonicTime, verdict: &mut Verdict) {
        let share = self.second * PERCENT / self.first.max(1);
        verdict.figures.raise(Figure::SecondSends, share);
    }
}
