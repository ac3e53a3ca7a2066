//! Tests of the HTTP interface for callers that need no backend.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use millford_bounded_io::ServerBounds;
use millford_core::Duration;
use millford_data_plane::limits::RequestLimits;
use millford_data_plane::proxy_state::ProxyState;
use millford_proxy::daemon::connections::serve_connections;
use millford_proxy::daemon::server::{HttpLimits, service};
use support::environment::ScriptedEnvironment;
use support::fixture::{Fixture, KEY};
use support::raw_backend::{exchange, get, post};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const CHAT: &str = r#"{"model":"saga","messages":[{"role":"user","content":"One."}]}"#;
const TIMEOUT: Duration = Duration::from_secs(20);
const LIMITS: ServerBounds = ServerBounds {
    max_connections: 1000,
    header_timeout: TIMEOUT,
    write_timeout: TIMEOUT,
    max_head_bytes: 16 * 1024,
};

async fn start(state: ProxyState, limits: ServerBounds) -> SocketAddr {
    let environment = ScriptedEnvironment::new(state, 7);
    let http_limits = HttpLimits {
        max_body_bytes: 4 * 1024,
        max_header_bytes: 2 * 1024,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let filter = service(&Arc::new(environment), http_limits);
    tokio::spawn(serve_connections(listener, filter, limits));
    address
}

fn authorization() -> String {
    format!("authorization: Bearer {KEY}\r\ncontent-type: application/json\r\n")
}

/// Opens a keep-alive connection and checks that a request on it is served.
async fn open(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let request = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.expect("write");
    let mut answer = [0; 12];
    let read = timeout(TIMEOUT, stream.read_exact(&mut answer)).await;
    read.expect("in time").expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200");
    stream
}

#[tokio::test]
async fn a_proxy_that_is_not_ready_sends_no_revision_header() {
    let address = start(ProxyState::new(RequestLimits::default()), LIMITS).await;
    for request in [
        post(&authorization(), CHAT),
        get("/v1/models", &authorization()),
    ] {
        let answer = exchange(address, &request).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"code\":2007"), "{answer}");
        assert!(!answer.contains("x-millford-revision"), "{answer}");
    }
    let address = start(Fixture::default().state(), LIMITS).await;
    let answer = exchange(address, &get("/nowhere", &authorization())).await;
    assert!(answer.contains("x-millford-revision: 3\r\n"), "{answer}");
}

#[tokio::test]
async fn the_models_of_the_routes_are_listed_for_tenants_only() {
    let address = start(Fixture::default().state(), LIMITS).await;
    let answer = exchange(address, &get("/v1/models", &authorization())).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("x-millford-revision: 3\r\n"), "{answer}");
    let (_, body) = answer.split_once("\r\n\r\n").expect("a body");
    let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(body["object"], "list");
    let models = body["data"].as_array().expect("a list");
    assert_eq!(models.len(), 1, "{body}");
    assert_eq!(models[0]["id"], "saga");
    assert_eq!(models[0]["object"], "model");
    for (headers, code) in [("", 1003), ("authorization: Bearer no\r\n", 1004)] {
        let answer = exchange(address, &get("/v1/models", headers)).await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
        assert!(answer.contains(&format!("\"code\":{code}")), "{answer}");
        assert!(!answer.contains("saga"), "{answer}");
    }
    let post = String::from_utf8(post(&authorization(), CHAT)).expect("text");
    let post = post.replace("/v1/chat/completions", "/v1/models");
    let answer = exchange(address, post.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 405"), "{answer}");
}

/// Guards against a proxy that lets requests in once the list of tenants is empty (review/2).
#[tokio::test]
async fn with_an_empty_list_of_tenants_no_request_is_let_in() {
    let address = start(Fixture::default().state_with_empty_tenant_list(), LIMITS).await;
    for request in [
        post(&authorization(), CHAT),
        get("/v1/models", &authorization()),
        get("/stations/7", ""),
    ] {
        let answer = exchange(address, &request).await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    }
}

#[tokio::test]
async fn a_caller_that_sends_its_headers_too_slowly_is_disconnected_and_others_are_served() {
    let limits = ServerBounds {
        header_timeout: Duration::from_millis(100),
        ..LIMITS
    };
    let address = start(Fixture::default().state(), limits).await;
    for beginning in ["", "GET /healthz HTTP/1.1\r\nhost: x\r\nx-slow: "] {
        let mut slow = TcpStream::connect(address).await.expect("connect");
        slow.write_all(beginning.as_bytes()).await.expect("write");
        let healthy = exchange(address, &get("/healthz", "")).await;
        assert!(healthy.starts_with("HTTP/1.1 200"), "{healthy}");
        let mut answer = Vec::new();
        let end = timeout(TIMEOUT, slow.read_to_end(&mut answer)).await;
        let _ = end.expect("the connection is closed in time");
        assert!(!answer.starts_with(b"HTTP/1.1 200"), "{beginning:?}");
    }
}

#[tokio::test]
async fn connections_above_the_limit_are_refused_until_one_is_free() {
    let limits = ServerBounds {
        max_connections: 2,
        ..LIMITS
    };
    let address = start(Fixture::default().state(), limits).await;
    let held = [open(address).await, open(address).await];
    let refused = exchange(address, &get("/healthz", "")).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("\"code\":2003"), "{refused}");
    assert!(refused.contains("\"run\":\"not_run\""), "{refused}");
    assert!(refused.contains("retry-after: 1"), "{refused}");
    drop(held);
    let served = async {
        while !exchange(address, &get("/healthz", ""))
            .await
            .starts_with("HTTP/1.1 200")
        {
            tokio::task::yield_now().await;
        }
    };
    timeout(TIMEOUT, served)
        .await
        .expect("a connection is free");
}
