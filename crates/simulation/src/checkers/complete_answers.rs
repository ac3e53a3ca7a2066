//! No partial answer passes for a whole one, and no success is invented.

use std::collections::{BTreeMap, BTreeSet};

use millford_core::MonotonicTime;

use crate::checkers::call_table::CallTable;
use crate::checkers::checker::Checker;
use crate::checkers::promise::Promise;
use crate::checkers::verdict::Verdict;
use crate::history::{CallEnd, CallNumber, ContentNumber, Record};

/// Wants the last piece, and a backend's success, behind every complete answer.
#[derive(Default)]
pub struct CompleteAnswersChecker {
    calls: CallTable,
    finished: BTreeSet<ContentNumber>,
    last_piece_seen: BTreeMap<CallNumber, bool>,
}

impl Checker for CompleteAnswersChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        self.calls.observe(record);
        match record {
            Record::BackendFinished { content, .. } => {
                self.finished.insert(*content);
            }
            Record::CallPiece { call, piece } => {
                let seen = self.last_piece_seen.entry(*call).or_default();
                *seen |= piece.last;
            }
            Record::CallEnded {
                call,
                end: CallEnd::Complete,
                ..
            } => self.check(at, *call, verdict),
            _ => {}
        }
    }
}

impl CompleteAnswersChecker {
    fn check(&self, at: MonotonicTime, call: CallNumber, verdict: &mut Verdict) {
        if self.last_piece_seen.get(&call) != Some(&true) {
            let text = format!("{call:?} ended as complete without its last piece");
            verdict.broken(at, Promise::CompleteAnswers, text);
        }
        let Some(sent) = self.calls.call(call) else {
            return;
        };
        if !self.finished.contains(&sent.content) {
            let text = format!("{call:?} ended as complete, but no backend finished it");
            verdict.broken(at, Promise::CompleteAnswers, text);
        }
    }
}
