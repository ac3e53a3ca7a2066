//! Verdicts of decision records, checked by means of their counters.

mod support;

use millford_api::config::TokenQuota;
use support::backend::{LAST_CHUNK, Step, StubBackend, not_run, signed, stream_start};
use support::caller::{call, request};
use support::node::{Setup, TestNode};

/// Returns the number of sampled requests of the route with this verdict.
fn count(node: &TestNode, verdict: &str) -> u64 {
    let verdicts = &node.node.state.metrics.verdicts;
    verdicts.with_label_values(&["jobs", verdict]).get()
}

#[tokio::test]
async fn a_complete_response_in_time_is_recorded_once() {
    let backend = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let node = TestNode::start(&Setup::with(|route| route.target_ms = 1500), &[&backend]).await;
    call(node.callers, &request("/jobs/", "", "")).await;
    call(node.callers, &request("/jobs/", "", "")).await;
    node.until(|| count(&node, "in time") == 2).await;
}

#[tokio::test]
async fn refusals_failures_and_truncated_responses_have_distinct_verdicts() {
    let full = StubBackend::start(vec![Step::Respond(not_run(503))]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&full]).await;
    assert_eq!(
        call(node.callers, &request("/jobs/", "", "")).await.status,
        503
    );
    node.until(|| count(&node, "refused") == 1).await;

    let closing = StubBackend::start(vec![Step::Close]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&closing]).await;
    assert_eq!(
        call(node.callers, &request("/jobs/", "", "")).await.status,
        502
    );
    node.until(|| count(&node, "failed") == 1).await;

    let broken = StubBackend::start(vec![Step::RespondThenReset(stream_start(1..3))]).await;
    let node = TestNode::start(&Setup::with(|route| route.stream = true), &[&broken]).await;
    assert!(
        !call(node.callers, &request("/jobs/", "", ""))
            .await
            .complete
    );
    node.until(|| count(&node, "broken off") == 1).await;
}

#[tokio::test]
async fn a_request_over_quota_is_recorded() {
    let backend = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let mut setup = Setup::with(|_| {});
    setup.quota = Some(TokenQuota {
        tokens_per_second: 1,
        burst: 1,
        default_tokens: 1000,
    });
    let node = TestNode::start(&setup, &[&backend]).await;
    call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(
        call(node.callers, &request("/jobs/", "", "")).await.status,
        429
    );
    node.until(|| count(&node, "over quota") == 1).await;
}

#[tokio::test]
async fn a_resumed_stream_is_recorded_as_one_request() {
    let text = format!("{}{LAST_CHUNK}", stream_start(4..6));
    let backend = StubBackend::start(vec![
        Step::RespondThenReset(stream_start(1..4)),
        Step::Respond(text.clone()),
    ])
    .await;
    let other = StubBackend::start(vec![
        Step::RespondThenReset(stream_start(1..4)),
        Step::Respond(text),
    ])
    .await;
    let setup = Setup::with(|route| {
        route.stream = true;
        route.resumable = true;
        route.max_attempts = 3;
    });
    let node = TestNode::start(&setup, &[&backend, &other]).await;
    call(node.callers, &request("/jobs/", "", "")).await;
    let recorded = || count(&node, "in time") + count(&node, "broken off");
    node.until(|| recorded() == 1).await;
}
