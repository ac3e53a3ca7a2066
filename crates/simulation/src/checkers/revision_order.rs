//! No node steps back a revision, restarts included.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::checkers::call_table::CallTable;
use crate::checkers::checker::Checker;
use crate::checkers::promise::Promise;
use crate::checkers::verdict::Verdict;
use crate::history::{FrontNumber, Record};

/// Follows the revision that each front machine routes by.
#[derive(Default)]
pub struct RevisionOrderChecker {
    calls: CallTable,
    shown: BTreeMap<FrontNumber, u64>,
}

impl Checker for RevisionOrderChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        self.calls.observe(record);
        if let Record::RevisionShown { front, revision } = record {
            let shown = self.shown.entry(*front).or_default();
            if revision < shown {
                let text = format!("{front:?} fell back from {shown} to {revision}");
                verdict.broken(at, Promise::RevisionOrder, text);
            }
            *shown = (*shown).max(*revision);
        }
    }
}
