//! Tests that a stream never skips, repeats or mixes chunks of different runs, and that it moves to
//! another backend only if its route allows it.

mod support;

use bytes::Bytes;
use millford_api::config::Resume;
use millford_api::state::BackendState;
use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_proxy::request::completion::serve_completion;
use millford_proxy::request::environment::RequestEnvironment as _;
use millford_proxy::request::message::AnswerError;
use support::environment::ScriptedEnvironment;
use support::fixture::{Fixture, request, serve};
use support::script::{AnswerScript, Script, Step, chunks, complete_stream, stream};
use support::sink::{CallerResponse, RecordingSink};

fn assert_ends_in_error(response: &CallerResponse, chunks: u64, code: ResultCode) {
    let expected: Vec<u64> = (0..chunks).collect();
    assert_eq!(response.sequences(), expected);
    assert!(!response.text().contains("[DONE]"));
    assert_eq!(response.error().code, code);
    assert_eq!(response.error().run, "may_have_run");
}

fn assert_complete(response: &CallerResponse, chunks: u64) {
    let expected: Vec<u64> = (0..chunks).collect();
    assert_eq!(response.sequences(), expected);
    assert!(response.is_done() && response.complete);
}

#[test]
fn a_complete_stream_has_numbered_chunks_and_an_end() {
    let environment = Fixture::default().environment();
    let response = serve(&environment, request(true));
    assert_eq!(response.status(), 200);
    assert_complete(&response, 5);
    assert!(!response.text().contains("\"millford\""));
    assert!(environment.recorded().withdrawals.is_empty());
    let releases = environment.recorded().quota_releases.clone();
    assert!(releases.len() == 1 && releases[0].stream && !releases[0].unused);
}

#[test]
fn a_broken_sequence_is_never_delivered() {
    let other = "another-run".to_owned();
    let cases = [
        (Step::Chunk(4), ResultCode::StreamOutOfOrder),
        (Step::Chunk(2), ResultCode::StreamOutOfOrder),
        (Step::ChunkOfRun(other, 3), ResultCode::AnswerMismatch),
        (
            raw("data: {\"choices\":[]}\n\n"),
            ResultCode::StreamOutOfOrder,
        ),
        (raw("data: not json\n\n"), ResultCode::StreamOutOfOrder),
        (raw("event: error\ndata: {}\n\n"), ResultCode::BackendError),
        (
            Step::Fail(AnswerError::Disconnected),
            ResultCode::BackendLost,
        ),
        (
            Step::Fail(AnswerError::Malformed),
            ResultCode::AnswerTruncated,
        ),
    ];
    for (bad, code) in cases {
        let environment = without_resume().environment();
        let mut steps = chunks(0..3);
        steps.push(bad);
        steps.extend(chunks(3..6));
        environment.set_default_script(stream(steps, Step::Done));
        let response = serve(&environment, request(true));
        assert_ends_in_error(&response, 3, code);
    }
}

#[test]
fn a_body_that_ends_without_the_end_marker_is_an_error() {
    let environment = without_resume().environment();
    environment.set_default_script(Script::Answer(AnswerScript::new(chunks(0..3))));
    let response = serve(&environment, request(true));
    assert_ends_in_error(&response, 3, ResultCode::AnswerTruncated);
}

#[test]
fn bytes_after_the_end_marker_are_not_delivered() {
    let environment = Fixture::default().environment();
    let mut steps = chunks(0..2);
    steps.push(raw("data: [DONE]\n\ndata: {\"choices\":[\"stray\"]}\n\n"));
    environment.set_default_script(Script::Answer(AnswerScript::new(steps)));
    let response = serve(&environment, request(true));
    assert_complete(&response, 2);
    assert!(!response.text().contains("stray"));
}

#[test]
fn a_repeatable_request_is_retried_before_its_first_chunk() {
    for script in [
        Script::LoseBeforeHead,
        stream(Vec::new(), Step::Fail(AnswerError::Disconnected)),
    ] {
        let environment = without_resume().with_backends(&["b1", "b2"]).environment();
        environment.fill_retry_budget(1);
        environment.queue_script("b1", script.clone());
        environment.queue_script("b2", script);
        let response = serve(&environment, request(true));
        // Both attempts fail: the budget allows one retry, which starts a new run.
        assert_eq!(environment.sent().len(), 2);
        assert_eq!(response.status(), 502);
        let sent = environment.sent();
        assert_ne!(sent[0].request.run, sent[1].request.run);
    }
}

#[test]
fn without_retry_budget_a_request_is_sent_once() {
    let environment = Fixture::default().environment();
    environment.set_default_script(Script::LoseBeforeHead);
    let response = serve(&environment, request(true));
    assert_eq!(environment.sent().len(), 1);
    assert_eq!(response.error().run, "may_have_run");
}

#[test]
fn a_lost_stream_is_continued_at_exactly_the_next_chunk() {
    let environment = Fixture::default()
        .with_backends(&["b1", "b2"])
        .environment();
    environment.fill_retry_budget(1);
    let response = serve_lost_then(&environment, complete_stream(3, 4));
    assert_complete(&response, 7);
    let sent = environment.sent();
    assert_eq!(sent.len(), 2);
    assert_eq!(sent[1].request.resume_from.map(|resume| resume.0), Some(3));
    assert_eq!(sent[0].request.run, sent[1].request.run);
    assert_ne!(sent[0].request.attempt, sent[1].request.attempt);
    assert_eq!(environment.state().metrics.moved_streams.get(), 1);
}

#[test]
fn a_continuation_at_another_sequence_number_is_refused() {
    for (resume_at, first) in [(Some(2), 2), (Some(4), 4), (None, 4), (None, 2)] {
        let environment = Fixture::default()
            .with_backends(&["b1", "b2"])
            .environment();
        environment.fill_retry_budget(1);
        let wrong = Script::Answer(AnswerScript {
            resume_at,
            ..AnswerScript::new(chunks(first..first + 4))
        });
        let response = serve_lost_then(&environment, wrong);
        assert_ends_in_error(&response, 3, ResultCode::BackendLost);
    }
}

#[test]
fn a_stream_moves_only_where_its_route_allows() {
    let never = without_resume();
    let from_start = Fixture {
        resume: Resume::FromStart,
        ..Fixture::default()
    };
    let not_repeatable = Fixture {
        repeatable: false,
        ..Fixture::default()
    };
    for fixture in [never, from_start, not_repeatable] {
        let environment = fixture.with_backends(&["b1", "b2"]).environment();
        environment.fill_retry_budget(3);
        let response = serve_lost_then(&environment, complete_stream(3, 4));
        assert_ends_in_error(&response, 3, ResultCode::BackendLost);
        assert_eq!(environment.sent().len(), 1);
    }
}

#[test]
fn an_inactive_stream_is_moved_and_its_backend_ejected() {
    let environment = Fixture::default()
        .with_backends(&["b1", "b2"])
        .environment();
    environment.fill_retry_budget(1);
    let unresponsive = stream(chunks(0..3), Step::Inactivity);
    let response = serve_first_then(&environment, unresponsive, complete_stream(3, 2));
    assert_complete(&response, 5);
    let first = environment.sent()[0].request.backend_id.clone();
    assert!(!environment.state().health.is_usable(&first));
    // No other backend responded, so the stream is interrupted only after twice the limit of two
    // seconds.
    assert!(response.ended_at < MonotonicTime::from_millis(4_500));
}

#[test]
fn a_stream_moves_off_a_draining_backend_within_the_drain_time() {
    let fixture = Fixture::default().with_backends(&["b1", "b2"]);
    let environment = fixture.environment();
    environment.fill_retry_budget(1);
    let slow: Vec<Step> = (0..60)
        .flat_map(|sequence| {
            [
                Step::Wait(Duration::from_millis(100)),
                Step::Chunk(sequence),
            ]
        })
        .collect();
    environment.set_default_script(stream(slow, Step::Done));
    let mut sink = RecordingSink::new(environment.clock.clone());
    let drain = async {
        environment.sleep(Duration::from_millis(500)).await;
        let first = environment.sent()[0].request.backend_id.clone();
        let draining = fixture
            .clone()
            .with_state(&first, BackendState::BackendDraining);
        environment.state().set_table(draining.table());
        let other = if first == "b1" { "b2" } else { "b1" };
        environment.queue_script(other, Script::Answer(resumed()));
    };
    let serving = serve_completion(&environment, request(true), &mut sink);
    environment.clock.run(futures::future::join(serving, drain));
    let sent = environment.sent();
    assert_eq!(sent.len(), 2);
    assert_ne!(sent[0].request.backend_id, sent[1].request.backend_id);
    let since_drain = sent[1].at.since(MonotonicTime::from_millis(500));
    assert!(since_drain <= Duration::from_secs(1), "{since_drain:?}");
    assert!(sink.response().is_done());
}

/// Scripts an answer that continues the run at the requested sequence number, with the end marker
/// alone.
fn resumed() -> AnswerScript {
    // The stream in the test has ten chunks per second and moves 900 ms after the start of the
    // drain.
    AnswerScript::new(vec![Step::Done])
}

fn without_resume() -> Fixture {
    Fixture {
        resume: Resume::Never,
        ..Fixture::default()
    }
}

fn raw(text: &'static str) -> Step {
    Step::Raw(Bytes::from_static(text.as_bytes()))
}

fn serve_lost_then(environment: &ScriptedEnvironment, then: Script) -> CallerResponse {
    let lost = stream(chunks(0..3), Step::Fail(AnswerError::Disconnected));
    serve_first_then(environment, lost, then)
}

/// Serves a stream. The first attempt is answered with `first`, every later one with `then`.
fn serve_first_then(
    environment: &ScriptedEnvironment,
    first: Script,
    then: Script,
) -> CallerResponse {
    environment.set_default_script(first);
    let mut sink = RecordingSink::new(environment.clock.clone());
    let switch = async {
        environment.sleep(Duration::from_millis(5)).await;
        environment.set_default_script(then);
    };
    let serving = serve_completion(environment, request(true), &mut sink);
    environment
        .clock
        .run(futures::future::join(serving, switch));
    sink.response()
}

#[test]
fn a_request_abandons_a_backend_only_when_it_is_ejected_and_unresponsive() {
    let environment = Fixture::default()
        .with_backends(&["b1", "b2"])
        .environment();
    environment.fill_retry_budget(1);
    environment.set_default_script(Script::NeverAnswer);
    let mut sink = RecordingSink::new(environment.clock.clone());
    let eject = async {
        environment.sleep(Duration::from_millis(500)).await;
        let first = environment.sent()[0].request.backend_id.clone();
        environment
            .state()
            .eject(&first, millford_routing::EjectionReason::Unresponsive);
        environment.set_default_script(complete_stream(0, 2));
    };
    let serving = serve_completion(&environment, request(true), &mut sink);
    environment.clock.run(futures::future::join(serving, eject));
    assert_complete(&sink.response(), 2);
    let second_at = environment.sent()[1].at;
    assert_eq!(second_at, MonotonicTime::from_millis(2_000));
}
