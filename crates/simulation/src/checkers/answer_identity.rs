//! No caller gets another request's answer.

use millford_core::MonotonicTime;

use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::request_table::RequestTable;
use crate::checkers::verdict::Verdict;
use crate::history::Record;

/// Compares the content that a chunk answers with what its caller requested.
#[derive(Default)]
pub struct AnswerIdentityChecker {
    requests: RequestTable,
}

impl Checker for AnswerIdentityChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
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
                "{client_request:?} asked {:?} and got {chunk:?}",
                sent.content
            );
            verdict.record_violation(at, Guarantee::AnswerIdentity, text);
        }
    }
}
