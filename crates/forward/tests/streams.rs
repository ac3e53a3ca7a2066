//! Forwarding of event streams, and resumption on another backend at exactly the next event.

mod support;

use support::backend::{LAST_CHUNK, Step, StubBackend, chunk, event, stream_start};
use support::caller::{call, request};
use support::node::{Setup, TestNode};

fn resumable() -> Setup {
    Setup::with(|route| {
        route.stream = true;
        route.resumable = true;
        route.max_attempts = 2;
    })
}

fn events(ids: std::ops::Range<u64>) -> String {
    ids.map(event).collect()
}

#[tokio::test]
async fn a_complete_stream_is_forwarded() {
    let text = format!("{}{LAST_CHUNK}", stream_start(1..6));
    let backend = StubBackend::start(vec![Step::Respond(text)]).await;
    for setup in [resumable(), Setup::with(|route| route.stream = true)] {
        let node = TestNode::start(&setup, &[&backend]).await;
        let reply = call(node.callers, &request("/jobs/", "", "")).await;
        assert!(reply.complete);
        assert_eq!(reply.body, events(1..6));
    }
}

#[tokio::test]
async fn another_backend_resumes_after_the_last_complete_event() {
    // The first response of each backend is truncated in the middle of event 4. The request that receives it is
    // resumed on the other backend. Later requests receive the rest of the stream at once.
    let half = chunk(&event(4)[..7]);
    let broken = format!("{}{half}", stream_start(1..4));
    let rest = format!("{}{LAST_CHUNK}", stream_start(4..8));
    let first = StubBackend::start(vec![
        Step::RespondThenReset(broken.clone()),
        Step::Respond(rest.clone()),
    ])
    .await;
    let second =
        StubBackend::start(vec![Step::RespondThenReset(broken), Step::Respond(rest)]).await;
    let node = TestNode::start(&resumable(), &[&first, &second]).await;
    let mut complete = 0;
    for _ in 0..4 {
        let reply = call(node.callers, &request("/jobs/", "", "")).await;
        if reply.complete {
            complete += 1;
            let text = reply.body.clone();
            assert!(text == events(1..8) || text == events(4..8), "{text}");
        } else {
            assert_eq!(reply.body, events(1..4), "only complete events");
        }
    }
    assert!(complete >= 2);
    let mut resumed = first.received();
    resumed.extend(second.received());
    assert!(
        resumed
            .iter()
            .any(|received| received.header("last-event-id").as_deref() == Some("3"))
    );
}

#[tokio::test]
async fn repeated_events_are_dropped_and_a_gap_ends_the_stream() {
    for (continued, expected, complete) in [(2..6, events(1..6), true), (5..8, events(1..4), false)]
    {
        let broken = stream_start(1..4);
        let rest = format!("{}{LAST_CHUNK}", stream_start(continued));
        let backends = [
            StubBackend::start(vec![
                Step::RespondThenReset(broken.clone()),
                Step::Respond(rest.clone()),
            ])
            .await,
            StubBackend::start(vec![Step::Respond(rest)]).await,
        ];
        // Repeats the request until the first backend, whose first response is truncated, is chosen before the other.
        let node = TestNode::start(&resumable(), &[&backends[0], &backends[1]]).await;
        let reply = loop {
            let reply = call(node.callers, &request("/jobs/", "", "")).await;
            if reply.body.starts_with(&event(1)) {
                break reply;
            }
        };
        assert_eq!((reply.body, reply.complete), (expected, complete));
    }
}

#[tokio::test]
async fn a_stream_that_is_not_resumable_ends_truncated() {
    let broken = stream_start(1..4);
    let first = StubBackend::start(vec![Step::RespondThenReset(broken.clone())]).await;
    let second = StubBackend::start(vec![Step::RespondThenReset(broken)]).await;
    let setup = Setup::with(|route| route.stream = true);
    let node = TestNode::start(&setup, &[&first, &second]).await;
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert!(!reply.complete);
    assert_eq!(first.received().len() + second.received().len(), 1);
}

#[tokio::test]
async fn a_caller_may_resume_a_stream_itself() {
    let rest = format!("{}{LAST_CHUNK}", stream_start(4..6));
    let backend = StubBackend::start(vec![Step::Respond(rest)]).await;
    let node = TestNode::start(&resumable(), &[&backend]).await;
    let reply = call(node.callers, &request("/jobs/", "Last-Event-Id: 3\r\n", "")).await;
    assert_eq!(reply.body, events(4..6));
    assert_eq!(
        backend.received()[0].header("last-event-id").as_deref(),
        Some("3")
    );
}

#[tokio::test]
async fn a_stream_ends_at_the_deadline_of_its_route() {
    // The backend sends three events and never ends the stream.
    let text = stream_start(1..4);
    let backend = StubBackend::start(vec![Step::Respond(text), Step::Hang]).await;
    let setup = Setup::with(|route| {
        route.stream = true;
        route.timeout_ms = 300;
    });
    let node = TestNode::start(&setup, &[&backend]).await;
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.body, events(1..4));
    assert!(!reply.complete);
}
