//! What may not be repeated runs at most once.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::request_table::RequestTable;
use crate::checkers::verdict::Verdict;
use crate::history::{AttemptNumber, ContentNumber, Record, Repeatability};

/// Counts the runs of each content that may not be repeated.
#[derive(Default)]
pub struct AtMostOnceChecker {
    requests: RequestTable,
    runs: BTreeMap<ContentNumber, AttemptNumber>,
}

impl Checker for AtMostOnceChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        self.requests.observe(record);
        // A run that is continued is the same run.
        let Record::BackendStarted {
            attempt,
            content,
            from: 0,
            ..
        } = record
        else {
            return;
        };
        let Some(client_request) = self.requests.latest_of(*content) else {
            return;
        };
        if client_request.repeatability == Repeatability::Repeatable {
            return;
        }
        if let Some(first) = self.runs.insert(*content, *attempt) {
            let text = format!("{content:?} ran as {first:?} and again as {attempt:?}");
            verdict.record_violation(at, Guarantee::AtMostOnce, text);
        }
    }
}
