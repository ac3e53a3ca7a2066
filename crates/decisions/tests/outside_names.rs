//! Decision records keep the field names of commit b3d3e00, because later releases must read the logs of
//! earlier ones.

use std::io::Cursor;

use millford_decisions::{AttemptOutcome, AttemptRecord, DecisionRecord, Ending, read_records};

/// Record written by the code of commit b3d3e00.
const COMMITTED: &str = include_str!("data/record.json");

fn record() -> DecisionRecord {
    DecisionRecord {
        at_ms: 123_456,
        node: "node".to_owned(),
        zone: "zone".to_owned(),
        route: "route".to_owned(),
        tenant: "tenant".to_owned(),
        prompt_tokens: 101,
        output_tokens: 102,
        target_ms: 103,
        gap_target_ms: 104,
        attempts: vec![AttemptRecord {
            backend: "backend".to_owned(),
            same_zone: true,
            chosen_ms: 105,
            candidates: 106,
            believed_work_ms: 107.5,
            believed_cost_ms: 108.25,
            uncached_tokens: 109,
            queued_tokens: 110,
            streams: 111,
            outcome: AttemptOutcome::Answered,
        }],
        first_bytes_ms: Some(112),
        longest_gap_ms: 113,
        resumed: true,
        ended_ms: 114,
        ending: Ending::Complete,
    }
}

#[test]
fn a_record_has_the_committed_fields_in_their_order() {
    let written = serde_json::to_string(&record()).expect("JSON");
    if std::env::var_os("MILLFORD_WRITE_COMMITTED").is_some_and(|value| value == "1") {
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/record.json");
        std::fs::write(path, &written).expect("the file is written");
    }
    assert_eq!(written, COMMITTED);
}

#[test]
fn a_log_with_the_committed_record_is_read() {
    let line = format!("12:00:00 info FORWARD: DECISION {COMMITTED}\n");
    let read = read_records(Cursor::new(line)).expect("the log is read");
    assert_eq!(read, [record()]);
}

#[test]
fn endings_and_outcomes_have_the_committed_names() {
    let endings = [
        (Ending::Complete, "complete"),
        (Ending::BackendFailure, "backend_failure"),
        (Ending::OverQuota, "over_quota"),
        (Ending::Refused, "refused"),
        (Ending::Failed, "failed"),
        (Ending::TimedOut, "timed_out"),
        (Ending::BrokenOff, "broken_off"),
        (Ending::CallerLeft, "caller_left"),
    ];
    for (ending, name) in endings {
        assert_eq!(serde_json::to_value(ending).expect("JSON"), name);
    }
    let outcomes = [
        (AttemptOutcome::Open, "open"),
        (AttemptOutcome::Answered, "answered"),
        (AttemptOutcome::NotSent, "not_sent"),
        (AttemptOutcome::Refused, "refused"),
        (AttemptOutcome::Lost, "lost"),
        (AttemptOutcome::TimedOut, "timed_out"),
    ];
    for (outcome, name) in outcomes {
        assert_eq!(serde_json::to_value(outcome).expect("JSON"), name);
    }
}
