//! Checks that no caller receives the response to another request.

use super::history::History;
use super::verdict::Verdict;
use crate::answer_text::AnswerText;
use crate::caller::RequestOutcome;
use crate::emulator::lookup::{LOOKUP_MODEL, LookupAnswer};

/// Checks every chunk that a caller received.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("no caller gets the response to another request");
    for call in history.calls.iter().filter(|call| !call.chunks.is_empty()) {
        verdict.judged += 1;
        if let Some(violation) = violation(call) {
            verdict.record_violation(format!("request {}: {violation}", call.marker));
        }
    }
    verdict
}

fn violation(call: &RequestOutcome) -> Option<String> {
    if call.model == LOOKUP_MODEL {
        return lookup_violation(call);
    }
    let first = &call.chunks[0];
    let Some(answer) = AnswerText::announced_by(&first.text) else {
        return Some(format!("the first chunk names no request: {}", first.text));
    };
    if answer.marker() != call.marker {
        return Some(format!("got the response to request {}", answer.marker()));
    }
    if !call.streamed {
        let full_text = answer.full_text(call.requested_chunks);
        return (first.text != full_text)
            .then(|| "the response differs from its run's text".to_owned());
    }
    let position = call.chunks.iter().zip(0_u64..);
    let mut wrong = position.filter(|(chunk, sequence)| chunk.text != answer.chunk(*sequence));
    wrong
        .next()
        .map(|(_, sequence)| format!("chunk {sequence} differs from its run's text"))
}

fn lookup_violation(call: &RequestOutcome) -> Option<String> {
    let Ok(answer) = serde_json::from_str::<LookupAnswer>(&call.chunks[0].text) else {
        return Some("the lookup response is malformed".to_owned());
    };
    let expected = LookupAnswer::new(&answer.path, &call.marker);
    (answer != expected).then(|| format!("got the response to request {}", answer.marker))
}
