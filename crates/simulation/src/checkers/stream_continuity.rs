//! Streams neither skip nor repeat nor splice, and move only where the route allows.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::checkers::call_table::CallTable;
use crate::checkers::checker::Checker;
use crate::checkers::promise::Promise;
use crate::checkers::verdict::Verdict;
use crate::history::{CallNumber, CallSent, Piece, Record, ResumeRule};

/// Follows the pieces of each stream and the attempts behind them.
#[derive(Default)]
pub struct StreamContinuityChecker {
    calls: CallTable,
    last_piece: BTreeMap<CallNumber, Piece>,
}

impl Checker for StreamContinuityChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        self.calls.observe(record);
        match record {
            Record::CallPiece { call, piece } => self.check_piece(at, *call, *piece, verdict),
            Record::Dispatched { call, second, .. } if *second => {
                self.check_move(at, *call, verdict);
            }
            _ => {}
        }
    }
}

impl StreamContinuityChecker {
    fn check_piece(
        &mut self,
        at: MonotonicTime,
        call: CallNumber,
        piece: Piece,
        verdict: &mut Verdict,
    ) {
        let before = self.last_piece.insert(call, piece);
        let wanted = before.map_or(0, |before| before.sequence + 1);
        if piece.sequence != wanted {
            let text = format!("{call:?} got piece {} for {wanted}", piece.sequence);
            verdict.broken(at, Promise::StreamContinuity, text);
        }
        if let Some(before) = before
            && before.run != piece.run
        {
            let text = format!("{call:?} got pieces of two runs");
            verdict.broken(at, Promise::StreamContinuity, text);
        }
    }

    // After its first piece a stream may be sent elsewhere only where the route continues runs.
    fn check_move(&self, at: MonotonicTime, call: CallNumber, verdict: &mut Verdict) {
        let resume = self.calls.call(call).map(resume_of);
        if self.last_piece.contains_key(&call) && resume != Some(ResumeRule::Continue) {
            let text = format!("{call:?} moved after its first piece, against its route");
            verdict.broken(at, Promise::StreamContinuity, text);
        }
    }
}

fn resume_of(sent: &CallSent) -> ResumeRule {
    sent.resume
}
