//! The set of all checkers.

use millford_core::MonotonicTime;

use crate::checkers::adoption::AdoptionChecker;
use crate::checkers::answer_identity::AnswerIdentityChecker;
use crate::checkers::at_most_once::AtMostOnceChecker;
use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::complete_answers::CompleteAnswersChecker;
use crate::checkers::drain::DrainChecker;
use crate::checkers::durability::DurabilityChecker;
use crate::checkers::key_secrecy::KeySecrecyChecker;
use crate::checkers::not_run_truth::NotRunTruthChecker;
use crate::checkers::one_winner::OneWinnerChecker;
use crate::checkers::quota::QuotaChecker;
use crate::checkers::recovery::RecoveryChecker;
use crate::checkers::revision_order::RevisionOrderChecker;
use crate::checkers::revocation::RevocationChecker;
use crate::checkers::second_sends::SecondSendsChecker;
use crate::checkers::stream_continuity::StreamContinuityChecker;
use crate::checkers::totals::TotalsChecker;
use crate::history::Record;

/// One checker of each kind, with their common results.
pub struct CheckerSet {
    checkers: Vec<Box<dyn Checker>>,
    results: CheckResults,
}

impl Default for CheckerSet {
    fn default() -> Self {
        let checkers: Vec<Box<dyn Checker>> = vec![
            Box::<AtMostOnceChecker>::default(),
            Box::<NotRunTruthChecker>::default(),
            Box::<AnswerIdentityChecker>::default(),
            Box::<CompleteAnswersChecker>::default(),
            Box::<StreamContinuityChecker>::default(),
            Box::<RevisionOrderChecker>::default(),
            Box::<AdoptionChecker>::default(),
            Box::<OneWinnerChecker>::default(),
            Box::<RevocationChecker>::default(),
            Box::<KeySecrecyChecker>::default(),
            Box::<QuotaChecker>::default(),
            Box::<SecondSendsChecker>::default(),
            Box::<DrainChecker>::default(),
            Box::<DurabilityChecker>::default(),
            Box::<RecoveryChecker>::default(),
            Box::<TotalsChecker>::default(),
        ];
        Self {
            checkers,
            results: CheckResults::default(),
        }
    }
}

impl CheckerSet {
    /// Passes the next record to every checker.
    pub fn observe(&mut self, at: MonotonicTime, record: &Record) {
        for checker in &mut self.checkers {
            checker.observe(at, record, &mut self.results);
        }
    }

    /// Ends the run and returns the results.
    pub fn finish(&mut self, at: MonotonicTime) -> CheckResults {
        for checker in &mut self.checkers {
            checker.finish(at, &mut self.results);
        }
        std::mem::take(&mut self.results)
    }

    /// Returns the results so far.
    #[must_use]
    pub fn results(&self) -> &CheckResults {
        &self.results
    }
}
