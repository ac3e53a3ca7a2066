//! Checks that no caller receives the answer to another request.

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::request_table::RequestTable;
use crate::history::Record;

/// Compares the content of each chunk with the content that its caller requested.
#[derive(Default)]
pub struct AnswerIdentityChecker {
    requests: RequestTable,
}

impl Checker for AnswerIdentityChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        self.requests.observe(record);
        let Record::ChunkReceived {
            client_request,
            chunk,
        } = record
        else {
            return;
        };
        let Some(sent) = self.requests.get(*client_request) else {
            return;
        };
        if sent.content != chunk.content {
            let text = format!(
                "{client_request:?} requested {:?} but received {chunk:?}",
                sent.content
            );
            results.record_violation(at, Guarantee::AnswerIdentity, text);
        }
    }
}
