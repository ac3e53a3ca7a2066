//! Counts served requests and accepted orders, so that a scenario can require a minimum of work done, not
//! only the absence of violations.

use std::collections::BTreeSet;

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::history::{OrderAnswer, Record, RequestEnd};
use crate::scenario::Figure;

const PERCENT: u64 = 100;

/// Counts client requests, complete answers and accepted revisions. It reports no violation.
#[derive(Default)]
pub struct TotalsChecker {
    requests: u64,
    complete: u64,
    revisions: BTreeSet<u64>,
}

impl Checker for TotalsChecker {
    fn observe(&mut self, _at: MonotonicTime, record: &Record, _results: &mut CheckResults) {
        match record {
            Record::RequestSent(_) => self.requests += 1,
            Record::RequestEnded {
                end: RequestEnd::Complete,
                ..
            } => self.complete += 1,
            Record::OrderAnswered {
                answer: OrderAnswer::Accepted { revision, .. },
                ..
            } => {
                self.revisions.insert(*revision);
            }
            _ => {}
        }
    }

    fn finish(&mut self, _at: MonotonicTime, results: &mut CheckResults) {
        let served = self.complete * PERCENT / self.requests.max(1);
        results.figures.lower(Figure::Served, served);
        let orders = self.revisions.len() as u64;
        results.figures.lower(Figure::Orders, orders);
    }
}
