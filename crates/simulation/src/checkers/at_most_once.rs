//! Checks that a request that is not repeatable runs at most once.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::request_table::RequestTable;
use crate::history::{AttemptNumber, ContentNumber, Record, Repeatability};

/// Finds second runs of the same content, unless the request is repeatable.
#[derive(Default)]
pub struct AtMostOnceChecker {
    requests: RequestTable,
    /// Latest attempt that ran, by content; only for requests that are not repeatable.
    runs: BTreeMap<ContentNumber, AttemptNumber>,
}

impl Checker for AtMostOnceChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        self.requests.observe(record);
        // Only starts at chunk 0 count: a resumed run is the same run.
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
            let text = format!("{content:?} ran twice: as {first:?} and as {attempt:?}");
            results.record_violation(at, Guarantee::AtMostOnce, text);
        }
    }
}
