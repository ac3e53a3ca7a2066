//! No node steps back a revision, restarts included.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::verdict::Verdict;
use crate::history::{ProxyNodeNumber, Record};

/// Follows the revision that each proxy node routes by.
#[derive(Default)]
pub struct RevisionOrderChecker {
    /// Newest revision of each proxy node.
    applied: BTreeMap<ProxyNodeNumber, u64>,
}

impl Checker for RevisionOrderChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        if let Record::RevisionApplied {
            proxy_node,
            revision,
        } = record
        {
            let applied = self.applied.entry(*proxy_node).or_default();
            if revision < applied {
                let text = format!("{proxy_node:?} fell back from {applied} to {revision}");
                verdict.record_violation(at, Guarantee::RevisionOrder, text);
            }
            *applied = (*applied).max(*revision);
        }
    }
}
