//! What may not be repeated runs at most once.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::checkers::call_table::CallTable;
use crate::checkers::checker::Checker;
use crate::checkers::promise::Promise;
use crate::checkers::verdict::Verdict;
use crate::history::{AttemptNumber, ContentNumber, Record, Repeatability};

/// Counts the runs of each content that may not be repeated.
#[derive(Default)]
pub struct AtMostOnceChecker {
    calls: CallTable,
    runs: BTreeMap<ContentNumber, AttemptNumber>,
}

impl Checker for AtMostOnceChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        self.calls.observe(record);
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
        let Some(call) = self.calls.content(*content) else {
            return;
        };
        if call.repeatability == Repeatability::Repeatable {
            return;
        }
        if let Some(first) = self.runs.insert(*content, *attempt) {
            let text = format!("{content:?} ran as {first:?} and again as {attempt:?}");
            verdict.broken(at, Promise::AtMostOnce, text);
        }
    }
}
