//! No caller gets another request's answer.

use millford_core::MonotonicTime;

use crate::checkers::call_table::CallTable;
use crate::checkers::checker::Checker;
use crate::checkers::promise::Promise;
use crate::checkers::verdict::Verdict;
use crate::history::Record;

/// Compares the content that a piece answers with what its caller asked.
#[derive(Default)]
pub struct AnswerIdentityChecker {
    calls: CallTable,
}

impl Checker for AnswerIdentityChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        self.calls.observe(record);
        let Record::CallPiece { call, piece } = record else {
            return;
        };
        let Some(sent) = self.calls.call(*call) else {
            return;
        };
        if sent.content != piece.content {
            let text = format!("{call:?} asked {:?} and got {piece:?}", sent.content);
            verdict.broken(at, Promise::AnswerIdentity, text);
        }
    }
}
