//! Tests of verdicts, of reading records and of the loss report.

use millford_decisions::{
    AttemptOutcome, AttemptRecord, DecisionRecord, DecisionsError, Ending, LossReport, Verdict,
    read_records,
};
use quickcheck::quickcheck;

fn attempt(work_ms: f64, outcome: AttemptOutcome) -> AttemptRecord {
    AttemptRecord {
        backend: "backend-1".to_owned(),
        believed_work_ms: work_ms,
        outcome,
        ..AttemptRecord::default()
    }
}

/// Returns the record of a stream that met its targets.
fn record() -> DecisionRecord {
    DecisionRecord {
        at_ms: 1500,
        node: "node-1".to_owned(),
        zone: "a".to_owned(),
        route: "ask".to_owned(),
        tenant: "tenant".to_owned(),
        prompt_tokens: 800,
        output_tokens: 60,
        target_ms: 500,
        gap_target_ms: 400,
        attempts: vec![attempt(10.0, AttemptOutcome::Answered)],
        first_bytes_ms: Some(200),
        longest_gap_ms: 100,
        resumed: false,
        ended_ms: 900,
        ending: Ending::Complete,
    }
}

fn verdict(change: impl FnOnce(&mut DecisionRecord)) -> Verdict {
    let mut record = record();
    change(&mut record);
    Verdict::of(&record)
}

#[test]
fn the_first_matching_reason_is_the_verdict() {
    assert_eq!(verdict(|_| {}), Verdict::InTime);
    let late = |record: &mut DecisionRecord| record.first_bytes_ms = Some(501);
    assert_eq!(verdict(late), Verdict::LateUnforeseen);
    let busy = |record: &mut DecisionRecord| {
        record.first_bytes_ms = Some(900);
        record.attempts = vec![attempt(250.0, AttemptOutcome::Answered)];
    };
    assert_eq!(verdict(busy), Verdict::LateBusy);
    let retried = |record: &mut DecisionRecord| {
        record.first_bytes_ms = Some(900);
        record
            .attempts
            .insert(0, attempt(0.0, AttemptOutcome::Lost));
    };
    assert_eq!(verdict(retried), Verdict::LateAfterRetry);
    let paused = |record: &mut DecisionRecord| record.longest_gap_ms = 401;
    assert_eq!(verdict(paused), Verdict::LateGap);
    let left = |record: &mut DecisionRecord| {
        record.ending = Ending::CallerLeft;
        record.first_bytes_ms = None;
    };
    assert_eq!(verdict(left), Verdict::CallerLeftWaiting);
    let midway = |record: &mut DecisionRecord| record.ending = Ending::CallerLeft;
    assert_eq!(verdict(midway), Verdict::CallerLeftMidway);
}

#[test]
fn complete_requests_without_a_target_are_in_time() {
    let untimed = |record: &mut DecisionRecord| {
        record.target_ms = 0;
        record.gap_target_ms = 0;
        record.first_bytes_ms = Some(60_000);
        record.longest_gap_ms = 60_000;
    };
    assert_eq!(verdict(untimed), Verdict::InTime);
}

#[test]
fn records_are_read_from_log_lines() {
    let text = serde_json::to_string(&record()).unwrap();
    let log = format!("12:00 info FORWARD: Serving.\n12:01 info FORWARD: DECISION {text}\n");
    assert_eq!(read_records(log.as_bytes()).unwrap(), [record()]);
    let structured = serde_json::json!({ "payload": format!("FORWARD: DECISION {text}") });
    let log = format!("{structured}\n{} {{ part=FORWARD }}\n", log.trim_end());
    assert_eq!(read_records(log.as_bytes()).unwrap(), [record(), record()]);
    let broken = format!("{log}x DECISION {{\"at_ms\":1\n");
    let error = read_records(broken.as_bytes()).unwrap_err();
    assert!(
        matches!(error, DecisionsError::UnreadableRecord { line: 4, .. }),
        "{error}"
    );
}

#[test]
fn the_table_shows_every_group() {
    let mut late = record();
    late.first_bytes_ms = Some(700);
    late.at_ms = 3000;
    let report = LossReport::of(&[record(), late], 0.25);
    assert_eq!(report.total.requests, 2);
    assert!((report.total.lost - 0.75).abs() < 1e-9);
    let text = report.to_string();
    assert!(text.contains("ask: late, unforeseen"), "{text}");
}

quickcheck! {
    /// Each grouping includes every request, and its shares add up to one, with any records.
    fn every_grouping_adds_up(endings: Vec<(u8, u16, u8)>) -> bool {
        let records: Vec<DecisionRecord> = endings
            .iter()
            .map(|(ending, first, second)| {
                let mut record = record();
                record.ending = [
                    Ending::Complete,
                    Ending::Refused,
                    Ending::BrokenOff,
                    Ending::CallerLeft,
                ][usize::from(ending % 4)];
                record.first_bytes_ms = Some(u32::from(*first));
                record.at_ms = u64::from(*second) * 1000;
                record.tenant = format!("tenant-{}", ending % 3);
                record
            })
            .collect();
        let report = LossReport::of(&records, 0.3);
        let whole = if report.total.lost > 0.0 { 1.0 } else { 0.0 };
        let adds_up = |groups: Vec<&millford_decisions::Loss>| {
            let requests: u64 = groups.iter().map(|loss| loss.requests).sum();
            let shares: f64 = groups.iter().map(|loss| report.share(loss)).sum();
            requests == records.len() as u64 && (shares - whole).abs() < 1e-9
        };
        adds_up(report.by_reason.values().collect())
            && adds_up(report.by_second.values().collect())
            && adds_up(report.by_zone.values().collect())
            && adds_up(report.by_tenant.values().collect())
            && adds_up(report.by_backend.values().collect())
    }
}
