//! Checks that no request to a backend contains a tenant key.

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::history::Record;

/// Checks each request that reaches a backend.
#[derive(Default)]
pub struct KeySecrecyChecker;

impl Checker for KeySecrecyChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        if let Record::BackendReceived {
            backend,
            attempt,
            key_seen: true,
        } = record
        {
            let text = format!("{backend:?} received a tenant key in {attempt:?}");
            results.record_violation(at, Guarantee::KeySecrecy, text);
        }
    }
}
