//! A caller never receives another request's answer.

use super::history::History;
use super::verdict::Verdict;
use crate::answer_text::AnswerText;
use crate::caller::CallOutcome;
use crate::emulator::lookup::{LOOKUP_MODEL, LookupAnswer};

/// Judges every piece that a caller got.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict::new("no caller gets another request's answer");
    for call in history.calls.iter().filter(|call| !call.pieces.is_empty()) {
        verdict.judged += 1;
        if let Some(fault) = fault(call) {
            verdict.violate(format!("request {}: {fault}", call.marker));
        }
    }
    verdict
}

fn fault(call: &CallOutcome) -> Option<String> {
    if call.model == LOOKUP_MODEL {
        return lookup_fault(call);
    }
    let first = &call.pieces[0];
    let Some(answer) = AnswerText::announced_by(&first.text) else {
        return Some(format!("the first piece names no request: {}", first.text));
    };
    if answer.marker() != call.marker {
        return Some(format!("got the answer to request {}", answer.marker()));
    }
    if !call.streamed {
        let whole = answer.whole(call.pieces_wanted);
        return (first.text != whole).then(|| "the answer differs from its run's text".to_owned());
    }
    let position = call.pieces.iter().zip(0_u64..);
    let mut wrong = position.filter(|(piece, sequence)| piece.text != answer.piece(*sequence));
    wrong
        .next()
        .map(|(_, sequence)| format!("piece {sequence} differs from its run's text"))
}

fn lookup_fault(call: &CallOutcome) -> Option<String> {
    let Ok(answer) = serde_json::from_str::<LookupAnswer>(&call.pieces[0].text) else {
        return Some("the lookup's answer is malformed".to_owned());
    };
    let expected = LookupAnswer::new(&answer.path, &call.marker);
    (answer != expected).then(|| format!("got the answer to request {}", answer.marker))
}
