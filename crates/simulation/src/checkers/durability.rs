//! Checks that acknowledged revisions are durable, and that reads never return an older one.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::history::{OrderAnswer, Record};

/// Compares linearizable reads of the configuration with the acknowledged orders.
#[derive(Default)]
pub struct DurabilityChecker {
    /// Highest acknowledged revision, by the time of the acknowledgement.
    acknowledged: BTreeMap<MonotonicTime, u64>,
    /// Digest of the configuration document of each revision.
    documents: BTreeMap<u64, u64>,
    /// Number of successful reads so far.
    reads: u64,
}

impl Checker for DurabilityChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        match record {
            Record::OrderAnswered {
                answer: OrderAnswer::Accepted { revision, .. },
                ..
            } => self.acknowledge(at, *revision),
            Record::RevisionWritten { revision, digest } => {
                self.documents.insert(*revision, *digest);
            }
            Record::RevisionRead {
                revision,
                digest,
                sent,
            } => {
                self.reads += 1;
                self.check_age(at, *revision, *sent, results);
                self.check_document(at, *revision, *digest, results);
            }
            _ => {}
        }
    }

    fn finish(&mut self, at: MonotonicTime, results: &mut CheckResults) {
        if self.reads == 0 {
            let text = "no read of the configuration succeeded during the run".to_string();
            results.record_violation(at, Guarantee::Durability, text);
        }
    }
}

impl DurabilityChecker {
    fn acknowledge(&mut self, at: MonotonicTime, revision: u64) {
        let highest = self.acknowledged_by(at).max(revision);
        self.acknowledged.insert(at, highest);
    }

    fn acknowledged_by(&self, at: MonotonicTime) -> u64 {
        let latest = self.acknowledged.range(..=at).next_back();
        latest.map_or(0, |(_, revision)| *revision)
    }

    fn check_age(
        &self,
        at: MonotonicTime,
        revision: u64,
        sent: MonotonicTime,
        results: &mut CheckResults,
    ) {
        let floor = self.acknowledged_by(sent);
        if revision < floor {
            let text = format!(
                "a read sent after revision {floor} was acknowledged returned revision {revision}"
            );
            results.record_violation(at, Guarantee::Durability, text);
        }
    }

    fn check_document(
        &self,
        at: MonotonicTime,
        revision: u64,
        digest: u64,
        results: &mut CheckResults,
    ) {
        let expected = self.documents.get(&revision);
        if expected.is_some_and(|expected| *expected != digest) {
            let text = format!("a read of revision {revision} returned another document");
            results.record_violation(at, Guarantee::Durability, text);
        }
    }
}
