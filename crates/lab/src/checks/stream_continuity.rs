//! A stream never skips or repeats a chunk, and never ends cleanly before its end.

use super::history::History;
use super::verdict::Verdict;
use crate::caller::{Ending, RequestOutcome};

/// Judges every request that got chunks or an end.
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

fn fault(call: &RequestOutcome) -> Option<String> {
    if call.ending == Ending::FalseEnd {
        return Some("a partial answer ended as if it were whole".to_owned());
    }
    if !call.streamed {
        return None;
    }
    for (chunk, expected) in call.chunks.iter().zip(0_u64..) {
        if chunk.sequence != Some(expected) {
            return Some(format!(
                "piece {:?} where {expected} was due",
                chunk.sequence
            ));
        }
    }
    let got = call.chunks.len() as u64;
    let short = call.succeeded() && got != call.requested_chunks;
    short.then(|| {
        format!(
            "{got} pieces of {} in a whole answer",
            call.requested_chunks
        )
    })
}
