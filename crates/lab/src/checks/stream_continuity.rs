//! A stream never skips or repeats a piece, and never ends cleanly before its end.

use super::history::History;
use super::verdict::Verdict;
use crate::caller::{CallOutcome, Ending};

/// Judges every call that got pieces or an end.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("no piece skipped, repeated or missing from a whole answer");
    for call in &history.calls {
        verdict.judged += 1;
        if let Some(fault) = fault(call) {
            verdict.violate(format!("request {}: {fault}", call.marker));
        }
    }
    verdict
}

fn fault(call: &CallOutcome) -> Option<String> {
    if call.ending == Ending::FalseEnd {
        return Some("a partial answer ended as if it were whole".to_owned());
    }
    if !call.streamed {
        return None;
    }
    for (piece, expected) in call.pieces.iter().zip(0_u64..) {
        if piece.sequence != Some(expected) {
            return Some(format!(
                "piece {:?} where {expected} was due",
                piece.sequence
            ));
        }
    }
    let got = call.pieces.len() as u64;
    let short = call.succeeded() && got != call.pieces_wanted;
    short.then(|| format!("{got} pieces of {} in a whole answer", call.pieces_wanted))
}
