//! Checks that no proxy node returns to an older revision, not even by a restart.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::history::{ProxyNodeNumber, Record};

/// Compares each applied revision with the newest one of the same proxy node.
#[derive(Default)]
pub struct RevisionOrderChecker {
    /// Newest revision that each proxy node has applied.
    applied: BTreeMap<ProxyNodeNumber, u64>,
}

impl Checker for RevisionOrderChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        if let Record::RevisionApplied {
            proxy_node,
            revision,
        } = record
        {
            let applied = self.applied.entry(*proxy_node).or_default();
            if revision < applied {
                let text = format!("{proxy_node:?} returned from revision {applied} to {revision}");
                results.record_violation(at, Guarantee::RevisionOrder, text);
            }
            *applied = (*applied).max(*revision);
        }
    }
}
