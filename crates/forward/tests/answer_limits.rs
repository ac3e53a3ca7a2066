//! Answers of backends over their limits: what the caller gets, and what is held against the backend.

mod support;

use millford_forward::ForwardSettings;
use millford_forward::request::answer_limit::AnswerLimit;
use millford_routing::EjectionReason;
use quickcheck::QuickCheck;
use support::backend::{LAST_CHUNK, Step, StubBackend, chunk, event, signed, stream_start};
use support::caller::{call, request};
use support::node::{Setup, TestNode};

const MAX_EVENT_BYTES: u64 = 32 * 1024;
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

fn settings() -> ForwardSettings {
    ForwardSettings {
        name: "node-1".to_owned(),
        zone: "a".to_owned(),
        max_event_bytes: MAX_EVENT_BYTES,
        max_answer_bytes: MAX_ANSWER_BYTES,
        ..ForwardSettings::default()
    }
}

fn resumable() -> Setup {
    Setup::with(|route| {
        route.stream = true;
        route.resumable = true;
        route.max_attempts = 2;
    })
}

/// A stream with three events, and the start of a fourth one that is over the limit.
fn stream_with_endless_event() -> String {
    let part = chunk(&"x".repeat(1000));
    format!("{}{}", stream_start(1..4), part.repeat(60))
}

fn is_held(node: &TestNode, number: usize) -> bool {
    let id = format!("backend-{number}");
    node.node.state.health.ejection(&id) == Some(EjectionReason::OverLimit)
}

fn over_limit(node: &TestNode, reader: &str) -> u64 {
    let metric = &node.node.state.metrics.over_limit;
    metric.with_label_values(&[reader]).get()
}

#[tokio::test]
async fn another_backend_resumes_a_stream_whose_event_is_over_the_limit() {
    let rest = format!("{}{LAST_CHUNK}", stream_start(4..8));
    let faulty = StubBackend::start(vec![Step::Respond(stream_with_endless_event())]).await;
    let sound = StubBackend::start(vec![Step::Respond(rest)]).await;
    let node = TestNode::start_with(&settings(), &resumable(), &[&faulty, &sound]).await;
    while !is_held(&node, 0) {
        let reply = call(node.callers, &request("/jobs/", "", "")).await;
        assert!(reply.complete);
        let all: String = (1..8).map(event).collect();
        assert!(all.ends_with(&reply.body), "{}", reply.body);
    }
    assert_eq!(over_limit(&node, "event"), 1);
    let before = faulty.received().len();
    for _ in 0..5 {
        call(node.callers, &request("/jobs/", "", "")).await;
    }
    assert_eq!(faulty.received().len(), before, "it is left out");
}

#[tokio::test]
async fn a_stream_that_is_not_resumable_ends_truncated_at_an_event_over_the_limit() {
    let faulty = StubBackend::start(vec![Step::Respond(stream_with_endless_event())]).await;
    let setup = Setup::with(|route| route.stream = true);
    let node = TestNode::start_with(&settings(), &setup, &[&faulty]).await;
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert!(!reply.complete);
    assert!(is_held(&node, 0));
}

#[tokio::test]
async fn long_streams_of_events_within_the_limit_are_forwarded_whole() {
    let data = "x".repeat(MAX_EVENT_BYTES as usize - 100);
    let events: Vec<String> = (0..20)
        .map(|id| format!("id: {id}\ndata: {data}\n\n"))
        .collect();
    let events = events.concat();
    let text = format!("{}{}{LAST_CHUNK}", stream_start(0..0), chunk(&events));
    let backend = StubBackend::start(vec![Step::Respond(text)]).await;
    for setup in [resumable(), Setup::with(|route| route.stream = true)] {
        let node = TestNode::start_with(&settings(), &setup, &[&backend]).await;
        let reply = call(node.callers, &request("/jobs/", "", "")).await;
        assert!(reply.complete);
        assert_eq!(reply.body.len(), events.len());
    }
}

#[tokio::test]
async fn an_answer_over_the_limit_is_refused_if_announced_and_else_truncated() {
    let body = "x".repeat(MAX_ANSWER_BYTES as usize + 1);
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nx-millford-request-id: REQUEST-ID\r\nx-millford-signature: s\r\n\
         transfer-encoding: chunked\r\n\r\n{}{LAST_CHUNK}",
        chunk(&body)
    );
    for (text, status) in [(signed(&body), 502), (chunked, 200)] {
        let faulty = StubBackend::start(vec![Step::Respond(text)]).await;
        let setup = Setup::with(|_| {});
        let node = TestNode::start_with(&settings(), &setup, &[&faulty]).await;
        let reply = call(node.callers, &request("/jobs/", "", "")).await;
        assert_eq!(reply.status, status);
        assert_eq!(reply.complete, status == 502, "a part never looks whole");
        assert!(is_held(&node, 0));
        assert_eq!(over_limit(&node, "answer"), 1);
    }
}

#[tokio::test]
async fn an_answer_of_the_largest_size_is_forwarded_whole() {
    let body = "x".repeat(MAX_ANSWER_BYTES as usize);
    let backend = StubBackend::start(vec![Step::Respond(signed(&body))]).await;
    let node = TestNode::start_with(&settings(), &Setup::with(|_| {}), &[&backend]).await;
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert!(reply.complete);
    assert_eq!(reply.body, body);
}

#[tokio::test]
async fn a_repeatable_request_is_retried_after_a_head_over_the_limit() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(10_000);
    let long = format!("HTTP/1.1 200 OK\r\nx-long: {}\r\n\r\n", "x".repeat(20_000));
    for text in [interim, long] {
        let faulty = StubBackend::start(vec![Step::Respond(text)]).await;
        let sound = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
        let setup = Setup::with(|route| {
            route.repeatable = true;
            route.max_attempts = 2;
        });
        let node = TestNode::start_with(&settings(), &setup, &[&faulty, &sound]).await;
        while !is_held(&node, 0) {
            let reply = call(node.callers, &request("/jobs/", "", "")).await;
            assert_eq!((reply.status, reply.body.as_str()), (200, "done"));
        }
        assert_eq!(over_limit(&node, "head"), 1);
    }
}

#[tokio::test]
async fn a_request_that_may_not_be_repeated_is_answered_without_a_promise() {
    let long = format!("HTTP/1.1 200 OK\r\nx-long: {}\r\n\r\n", "x".repeat(20_000));
    let faulty = StubBackend::start(vec![Step::Respond(long)]).await;
    let node = TestNode::start_with(&settings(), &Setup::with(|_| {}), &[&faulty]).await;
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 502);
    assert!(reply.body.starts_with("3016"), "{}", reply.body);
}

/// Returns the length of the longest part between ends of events, the rest included.
fn longest_event(text: &str) -> usize {
    let text = text.replace('\r', "");
    let parts = text.split("\n\n");
    parts.map(str::len).max().unwrap_or(0)
}

#[test]
fn the_limit_of_events_does_not_depend_on_the_boundaries_of_parts() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn agrees(lengths: Vec<u8>, cuts: Vec<usize>, has_carriage_returns: bool) -> bool {
        let end = if has_carriage_returns {
            "\r\n\r\n"
        } else {
            "\n\n"
        };
        let events: Vec<String> = lengths
            .iter()
            .map(|length| format!("data: {}{end}", "x".repeat(usize::from(*length))))
            .collect();
        let text = events.concat();
        let mut offsets: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
        offsets.extend([0, text.len()]);
        offsets.sort_unstable();
        let bounds = ForwardSettings {
            max_event_bytes: 300,
            ..ForwardSettings::default()
        }
        .bounds();
        let mut limit = AnswerLimit::of(&bounds, true);
        let is_within = offsets
            .windows(2)
            .all(|pair| limit.record(&text.as_bytes()[pair[0]..pair[1]]).is_ok());
        is_within && longest_event(&text) <= 300
    }
    QuickCheck::new().quickcheck(agrees as fn(Vec<u8>, Vec<usize>, bool) -> bool);
}
