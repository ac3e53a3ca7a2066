//! Requests through a real node to stub backends: what is forwarded, what the caller receives, which requests are
//! retried, and which never run twice.

mod support;

use std::sync::Arc;

use millford_api::config::{HttpLimits, TokenQuota};
use millford_data_plane::limits::RequestLimits;
use millford_data_plane::proxy_state::ProxyState;
use millford_forward::daemon::callers::serve_callers;
use millford_forward::{ForwardNode, ForwardSettings, MillfordProtocol};
use support::backend::{Step, StubBackend, not_run, signed};
use support::caller::{call, request};
use support::node::{HOST, Setup, TestNode};
use tokio::net::TcpListener;

#[tokio::test]
async fn method_path_and_body_are_forwarded_unchanged_without_the_key() {
    let backend = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend]).await;
    let headers = "x-millford-tenant: forged\r\nx-other: kept\r\nConnection: x-hop\r\nx-hop: 1\r\n";
    let reply = call(node.callers, &request("/jobs/a?b=c", headers, "body")).await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "done"));
    assert_eq!(reply.header("x-millford-signature").as_deref(), Some("s"));
    let received = &backend.received()[0];
    assert!(received.head.starts_with("POST /jobs/a?b=c HTTP/1.1"));
    assert_eq!(received.body, b"body");
    assert_eq!(received.header("host").as_deref(), Some(HOST));
    assert_eq!(received.header("x-other").as_deref(), Some("kept"));
    assert_eq!(
        received.header("x-millford-tenant").as_deref(),
        Some("tenant")
    );
    assert_eq!(
        received.header("x-millford-backend").as_deref(),
        Some("backend-0")
    );
    assert_eq!(received.header("authorization"), None);
    assert_eq!(received.header("x-hop"), None);
}

#[tokio::test]
async fn the_remaining_deadline_is_forwarded() {
    let backend = StubBackend::start(vec![Step::Respond(signed(""))]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend]).await;
    call(
        node.callers,
        &request("/jobs/", "x-millford-deadline-ms: 700\r\n", ""),
    )
    .await;
    call(
        node.callers,
        &request("/jobs/", "x-millford-deadline-ms: 90000\r\n", ""),
    )
    .await;
    call(
        node.callers,
        &request("/jobs/", "x-millford-deadline-ms: never\r\n", ""),
    )
    .await;
    let left: Vec<u64> = backend
        .received()
        .iter()
        .map(|received| {
            received
                .header("x-millford-deadline-ms")
                .unwrap()
                .parse()
                .unwrap()
        })
        .collect();
    assert!(left[0] <= 700 && left[0] > 500, "{left:?}");
    assert!(
        left[1] <= 2000 && left[2] <= 2000,
        "the route's own limit: {left:?}"
    );
}

/// Makes a response the one to another request.
fn of_another_request(response: String) -> String {
    let head = "x-millford-request-id: id-of-another\r\ncontent-length";
    response.replacen("content-length", head, 1)
}

#[tokio::test]
async fn a_request_that_did_not_run_is_retried_on_another_backend() {
    let full = StubBackend::start(vec![Step::Respond(not_run(503))]).await;
    let free = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&full, &free]).await;
    for _ in 0..8 {
        let reply = call(node.callers, &request("/jobs/", "", "")).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    assert_eq!(free.received().len(), 8);
}

#[tokio::test]
async fn when_all_backends_are_full_status_and_retry_after_are_forwarded() {
    let full = StubBackend::start(vec![Step::Respond(not_run(503))]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&full]).await;
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(full.received().len(), 1);
}

#[tokio::test]
async fn a_non_repeatable_request_is_sent_once_and_its_unknown_outcome_is_a_502() {
    for step in [
        Step::Close,
        Step::RespondThenReset("HTTP/1.1 200 OK\r\n".to_owned()),
        Step::Respond("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n".to_owned()),
        Step::Respond("HTTP/1.1 429 Busy\r\ncontent-length: 0\r\n\r\n".to_owned()),
        // The response to another request, and responses that are unsigned or encoded.
        Step::Respond(signed("other").replace("REQUEST-ID", "id-of-another")),
        // Refusals of another request, which say nothing about this one (review/1).
        Step::Respond(of_another_request(not_run(503))),
        Step::Respond(of_another_request(not_run(421))),
        Step::Respond(signed("bare").replace("x-millford-signature: s\r\n", "")),
        Step::Respond(
            signed("packed").replace("content-length", "content-encoding: gzip\r\ncontent-length"),
        ),
        Step::Respond("these are no answers\r\n\r\n".to_owned()),
    ] {
        let first = StubBackend::start(vec![step.clone()]).await;
        let second = StubBackend::start(vec![step.clone()]).await;
        let node = TestNode::start(&Setup::with(|_| {}), &[&first, &second]).await;
        let reply = call(node.callers, &request("/jobs/", "", "")).await;
        assert_eq!(reply.status, 502, "{step:?}");
        assert_eq!(reply.header("x-millford-signature"), None);
        assert_eq!(
            first.received().len() + second.received().len(),
            1,
            "{step:?}"
        );
    }
}

#[tokio::test]
async fn a_repeatable_request_is_retried_within_its_max_attempts() {
    let lost = StubBackend::start(vec![Step::Close]).await;
    let good = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let setup = Setup::with(|route| {
        route.repeatable = true;
        route.max_attempts = 2;
    });
    let node = TestNode::start(&setup, &[&lost, &good]).await;
    for _ in 0..6 {
        let reply = call(node.callers, &request("/jobs/", "", "")).await;
        assert_eq!(reply.status, 200);
    }
    let setup = Setup::with(|route| route.repeatable = true);
    let single_attempt = TestNode::start(&setup, &[&lost]).await;
    let before = lost.received().len();
    let reply = call(single_attempt.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 502);
    assert_eq!(lost.received().len(), before + 1);
}

#[tokio::test]
async fn an_error_status_of_the_backend_is_forwarded_unchanged() {
    let response = signed("broken").replace("200 OK", "500 Failed");
    let backend = StubBackend::start(vec![Step::Respond(response)]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend]).await;
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!((reply.status, reply.body.as_str()), (500, "broken"));
    assert_eq!(reply.header("x-millford-signature").as_deref(), Some("s"));
}

#[tokio::test]
async fn a_truncated_response_is_incomplete_by_its_framing() {
    let truncated = signed("0123456789").replace("content-length: 10", "content-length: 20");
    let backend = StubBackend::start(vec![Step::RespondThenReset(truncated)]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend]).await;
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert!(!reply.complete, "{reply:?}");
}

#[tokio::test]
async fn a_request_without_a_response_fails_at_its_deadline() {
    let backend = StubBackend::start(vec![Step::Hang]).await;
    let setup = Setup::with(|route| route.timeout_ms = 300);
    let node = TestNode::start(&setup, &[&backend]).await;
    let begun = std::time::Instant::now();
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 504);
    assert!(begun.elapsed() < std::time::Duration::from_millis(800));
}

#[tokio::test]
async fn invalid_requests_are_refused_with_their_result_code() {
    let backend = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let mut setup = Setup::with(|_| {});
    setup.limits = Some(HttpLimits {
        max_header_bytes: 1000,
        max_body_bytes: 8,
        header_timeout_ms: 1000,
        idle_timeout_ms: 1000,
    });
    let node = TestNode::start(&setup, &[&backend]).await;
    let good = request("/jobs/", "", "");
    let long = format!("x-long: {}\r\n", "a".repeat(1200));
    let cases = [
        (good.replace("/jobs/", "/other/"), 404, "1009"),
        (good.replace(HOST, "other.example"), 404, "1009"),
        (good.replace("Bearer key", "Bearer lost-key"), 401, "1004"),
        (good.replace("Authorization", "x-none"), 401, "1003"),
        (good.replace("Bearer ", "Basic "), 401, "1003"),
        (request("/jobs/", &long, ""), 431, "1008"),
        (request("/jobs/", "", "123456789"), 413, "1007"),
    ];
    for (text, status, code) in cases {
        let reply = call(node.callers, &text).await;
        assert_eq!(reply.status, status, "{text}");
        assert!(reply.body.starts_with(code), "{}", reply.body);
    }
    assert_eq!(backend.received().len(), 0);
    let malformed = [
        "GARBAGE\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "POST /jobs/ HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
    ];
    for text in malformed {
        assert_eq!(call(node.callers, text).await.status, 400, "{text}");
    }
    assert_eq!(
        call(node.callers, &good).await.status,
        200,
        "malformed requests do not affect later ones"
    );
}

/// Guards against a node that lets every request in once the last key of the last tenant is taken away (review/2).
#[tokio::test]
async fn without_any_key_left_no_request_is_let_in() {
    let backend = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let mut setup = Setup::with(|_| {});
    setup.keys.clear();
    let node = TestNode::start(&setup, &[&backend]).await;
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 401, "{}", reply.body);
    assert_eq!(backend.received().len(), 0);
}

/// Guards against a node that lets every request in once the list of tenants is empty (review/2).
#[tokio::test]
async fn with_an_empty_list_of_tenants_no_request_is_let_in_but_on_public_routes() {
    let backend = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let mut setup = Setup::with(|_| {});
    setup.lists_tenant = false;
    let node = TestNode::start(&setup, &[&backend]).await;
    let reply = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 401, "{}", reply.body);
    assert_eq!(backend.received().len(), 0);

    setup.routes[0].public = true;
    let public = TestNode::start(&setup, &[&backend]).await;
    let reply = call(public.callers, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
}

#[tokio::test]
async fn a_node_without_a_configuration_responds_503() {
    let backend = StubBackend::start(vec![Step::Respond(signed(""))]).await;
    let setup = Setup::with(|_| {});
    let node = TestNode::start(&setup, &[&backend]).await;
    let settings = ForwardSettings::default();
    let state = Arc::new(ProxyState::new(RequestLimits::default()));
    let empty = Arc::new(ForwardNode::new(&settings, state, MillfordProtocol));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_callers(listener, empty, node.connections.clone()));
    let reply = call(address, &request("/jobs/", "", "")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
}

#[tokio::test]
async fn a_tenant_over_its_quota_gets_429_with_retry_after() {
    let backend = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let mut setup = Setup::with(|_| {});
    setup.quota = Some(TokenQuota {
        tokens_per_second: 10,
        burst: 100,
        default_tokens: 1,
    });
    let node = TestNode::start(&setup, &[&backend]).await;
    let large = request("/jobs/", "x-millford-tokens: 200,100\r\n", "");
    assert_eq!(
        call(node.callers, &large).await.status,
        200,
        "a request of any size is admitted while tokens are left"
    );
    let refused = call(node.callers, &request("/jobs/", "", "")).await;
    assert_eq!(refused.status, 429);
    let seconds: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!((15.0..=30.0).contains(&seconds), "{seconds}");
    // The connection is closed, so that it is not kept open unused until the caller retries.
    assert_eq!(refused.header("connection").as_deref(), Some("close"));
    assert_eq!(backend.received().len(), 1);
}

#[tokio::test]
async fn connections_to_backends_are_reused() {
    let backend = StubBackend::start(vec![Step::Respond(signed("done"))]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend]).await;
    for _ in 0..5 {
        assert_eq!(
            call(node.callers, &request("/jobs/", "", "")).await.status,
            200
        );
    }
    assert_eq!(backend.connections(), 1);
}

#[tokio::test]
async fn a_disconnected_caller_cancels_its_request() {
    let backend = StubBackend::start(vec![Step::Hang]).await;
    let node = TestNode::start(&Setup::with(|_| {}), &[&backend]).await;
    let mut stream = tokio::net::TcpStream::connect(node.callers).await.unwrap();
    let text = request("/jobs/", "", "");
    tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes())
        .await
        .unwrap();
    while node.node.connections.in_use("backend-0") == 0 {
        tokio::task::yield_now().await;
    }
    drop(stream);
    while node.node.connections.in_use("backend-0") > 0 {
        tokio::task::yield_now().await;
    }
}
