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
        if let Some(violation) = violation(call) {
            verdict.record_violation(format!("request {}: {violation}", call.marker));
        }
    }
    verdict
}

fn violation(call: &RequestOutcome) -> Option<String> {
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
    let received = call.chunks.len() as u64;
    let is_short = call.succeeded() && received != call.requested_chunks;
    is_short.then(|| {
        format!(
            "{received} of {} chunks in a complete response",
            call.requested_chunks
        )
    })
}
