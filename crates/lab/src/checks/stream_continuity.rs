//! Checks that a stream skips or repeats no chunk and that a partial response never ends like a complete one.

use super::history::History;
use super::verdict::Verdict;
use crate::caller::{Ending, RequestOutcome};

/// Checks the chunks and the ending of every request.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("no chunk skipped, repeated or missing in a full response");
    for call in &history.calls {
        verdict.judged += 1;
        if let Some(fault) = fault(call) {
            verdict.record_violation(format!("request {}: {fault}", call.marker));
        }
    }
    verdict
}

fn fault(call: &RequestOutcome) -> Option<String> {
    if call.ending == Ending::FalseEnd {
        return Some("a partial response ended like a complete one".to_owned());
    }
    if !call.streamed {
        return None;
    }
    for (chunk, expected) in call.chunks.iter().zip(0_u64..) {
        if chunk.sequence != Some(expected) {
            return Some(format!(
                "chunk {:?} in place of chunk {expected}",
                chunk.sequence
            ));
        }
    }
    let got = call.chunks.len() as u64;
    let short = call.succeeded() && got != call.requested_chunks;
    short.then(|| {
        format!(
            "{got} of {} chunks in a complete response",
            call.requested_chunks
        )
    })
}
