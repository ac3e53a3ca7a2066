//! Requests that arrive at a node while it is draining.

mod support;

use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_forward::GracefulShutdown;
use support::backend::{Step, StubBackend, signed};
use support::caller::{call, request};
use support::node::{Setup, TestNode};

#[test]
fn while_draining_only_requests_that_end_before_the_process_are_accepted() {
    let at = MonotonicTime::from_millis;
    let graceful_shutdown = GracefulShutdown::begin(at(1000), Duration::from_millis(7500));
    assert!(graceful_shutdown.accepts(at(1000), at(13_000)));
    assert!(
        graceful_shutdown.accepts(at(3700), at(15_700)),
        "callers may not have noticed yet that the node is draining"
    );
    assert!(
        !graceful_shutdown.accepts(at(5500), at(17_500)),
        "the shutdown could truncate the response"
    );
    assert!(!graceful_shutdown.accepts(at(5500), at(8501)));
    assert!(
        graceful_shutdown.accepts(at(5500), at(8500)),
        "the request completes or times out before the process ends"
    );
}

#[tokio::test]
async fn a_request_that_shutdown_would_truncate_is_refused_without_running() {
    let backend = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend]).await;
    node.node.drain(monotonic_now(), Duration::ZERO);
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(reply.header("connection").as_deref(), Some("close"));
    assert_eq!(backend.received().len(), 0);
}

#[tokio::test]
async fn a_node_that_just_began_draining_still_serves() {
    let backend = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend]).await;
    node.node.drain(monotonic_now(), Duration::from_mins(1));
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection").as_deref(), Some("close"));
}
