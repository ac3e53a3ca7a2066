//! Requests that reach a node while it leaves.

mod support;

use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_forward::Leaving;
use support::backend::{Step, StubBackend, signed};
use support::caller::{call, request};
use support::node::{Setup, TestNode};

#[test]
fn late_requests_are_taken_only_if_the_process_outlives_them() {
    let at = MonotonicTime::from_millis;
    let leaving = Leaving::begin(at(1000), Duration::from_millis(7500));
    assert!(leaving.takes(at(1000), at(13_000)));
    assert!(
        leaving.takes(at(3700), at(15_700)),
        "callers may not know yet"
    );
    assert!(
        !leaving.takes(at(5500), at(17_500)),
        "its end would break it off"
    );
    assert!(!leaving.takes(at(5500), at(8501)));
    assert!(
        leaving.takes(at(5500), at(8500)),
        "answered or given up before the end"
    );
}

#[tokio::test]
async fn a_request_that_would_be_broken_off_is_refused_at_once_and_did_not_run() {
    let backend = StubBackend::start(vec![Step::Answer(signed("done"))]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend]).await;
    node.node.leave(monotonic_now(), Duration::ZERO);
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(reply.header("connection").as_deref(), Some("close"));
    assert_eq!(backend.received().len(), 0);
}

#[tokio::test]
async fn a_node_that_has_just_begun_to_leave_serves_on() {
    let backend = StubBackend::start(vec![Step::Answer(signed("done"))]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend]).await;
    node.node.leave(monotonic_now(), Duration::from_secs(60));
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection").as_deref(), Some("close"));
}
