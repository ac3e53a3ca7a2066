//! Tests of the daemon over loopback: agent link, HTTP server and backend connections.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use millford_api::local::{ProxyHello, local_frame};
use millford_core::Duration;
use millford_data_plane::agent_link::{AgentLink, agent_link};
use millford_data_plane::limits::RequestLimits;
use millford_data_plane::proxy_state::ProxyState;
use millford_proxy::daemon::backend_client::BackendClient;
use millford_proxy::daemon::environment::DaemonEnvironment;
use millford_proxy::daemon::server::{HttpLimits, service};
use millford_transport::FrameLimits;
use support::fixture::{Fixture, KEY};
use support::raw_backend::{Answer, RawRequest, Requests, exchange, get, post};
use support::{raw_backend, stub_agent};
use tokio::net::TcpListener;

const CHAT: &str = r#"{"model":"saga","messages":[{"role":"user","content":"One."}]}"#;
const CHAT_STREAM: &str =
    r#"{"model":"saga","stream":true,"messages":[{"role":"user","content":"One."}]}"#;

struct Proxy {
    address: SocketAddr,
    state: Arc<ProxyState>,
    agent_received: stub_agent::Received,
    backend_requests: Requests,
    agent: AgentLink,
}

async fn start(fixture: &Fixture, answer: Answer) -> Proxy {
    let (backend, backend_requests) = raw_backend::start(answer).await;
    let items = fixture.feed_items(&backend.to_string());
    let (agent_address, agent_received) = stub_agent::start(items).await;
    let state = Arc::new(ProxyState::new(RequestLimits::default()));
    let hello = ProxyHello::default();
    let (agent, task) = agent_link(
        Arc::clone(&state),
        agent_address,
        hello,
        FrameLimits::default(),
    );
    tokio::spawn(task.run());
    let environment = DaemonEnvironment {
        proxy_state: Arc::clone(&state),
        agent: agent.clone(),
        backends: BackendClient {
            max_head_bytes: 16 * 1024,
            connect_timeout: Duration::from_millis(300),
        },
    };
    let limits = HttpLimits {
        max_body_bytes: 64 * 1024,
        max_header_bytes: 4 * 1024,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let filter = service(&Arc::new(environment), limits);
    tokio::spawn(warp::serve(filter).incoming(listener).run());
    wait_for("the proxy is ready", || state.is_ready()).await;
    Proxy {
        address,
        state,
        agent_received,
        backend_requests,
        agent,
    }
}

/// Waits until the condition holds; panics after about ten seconds.
async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..5_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("timed out: {what}");
}

fn headers(extra: &str) -> String {
    format!("authorization: Bearer {KEY}\r\ncontent-type: application/json\r\n{extra}")
}

/// Answers every request with the result of `make`, and confirms every withdrawal.
fn answering(make: impl Fn(&RawRequest) -> String + Send + Sync + 'static) -> Answer {
    Arc::new(move |request| {
        if request.head.starts_with("DELETE") {
            let body = r#"{"state":"withdrawn"}"#;
            return with_length(request, body).into_bytes();
        }
        make(request).into_bytes()
    })
}

fn with_length(request: &RawRequest, body: &str) -> String {
    let attempt = request.header("x-millford-attempt");
    let length = body.len();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
    format!("{head}x-millford-attempt: {attempt}\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn chunked(request: &RawRequest, events: &str, last_chunk: bool) -> String {
    let attempt = request.header("x-millford-attempt");
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
    let end = if last_chunk { "0\r\n\r\n" } else { "" };
    let size = events.len();
    format!(
        "{head}x-millford-attempt: {attempt}\r\ntransfer-encoding: chunked\r\n\r\n{size:x}\r\n{events}\r\n{end}"
    )
}

fn events(request: &RawRequest, count: u64, done: bool) -> String {
    let run = request.header("x-millford-run");
    let chunk = |sequence: u64| {
        let metadata = format!("{{\"run\":\"{run}\",\"seq\":{sequence}}}");
        format!("data: {{\"choices\":[],\"millford\":{metadata}}}\n\n")
    };
    let mut events: String = (0..count).map(chunk).collect();
    if done {
        events.push_str("data: [DONE]\n\n");
    }
    events
}

#[tokio::test]
async fn a_plain_answer_is_relayed_and_the_key_is_not_sent_to_the_backend() {
    let answer = answering(|request| with_length(request, r#"{"choices":[1]}"#));
    let proxy = start(&Fixture::not_repeatable(), answer).await;
    let extra = "idempotency-key: order-9\r\nx-millford-session: s1\r\n";
    let response = exchange(proxy.address, &post(&headers(extra), CHAT)).await;
    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    assert!(response.contains("x-millford-revision: 3"), "{response}");
    assert!(response.ends_with(r#"{"choices":[1]}"#), "{response}");
    let requests = proxy.backend_requests.lock().expect("requests").clone();
    assert_eq!(requests.len(), 1);
    let complete = format!("{}\n{}", requests[0].head, requests[0].body);
    assert!(!complete.contains(KEY) && !complete.to_ascii_lowercase().contains("authorization"));
    assert!(!complete.contains("library") && !complete.contains("order-9"));
    assert_eq!(requests[0].body, CHAT);
    let resolved_outcomes = || {
        let received = proxy.agent_received.lock().expect("received");
        let mut frames = received.iter();
        frames.any(|body| matches!(body, local_frame::Body::ResolveClaim(_)))
    };
    wait_for("the claim is resolved", resolved_outcomes).await;
}

#[tokio::test]
async fn bytes_after_the_content_length_are_not_delivered() {
    let answer = answering(|request| {
        let complete = with_length(request, r#"{"choices":[1]}"#);
        format!(
            "{complete}{}",
            with_length(request, r#"{"choices":["stray"]}"#)
        )
    });
    let proxy = start(&Fixture::default(), answer).await;
    for _ in 0..3 {
        let response = exchange(proxy.address, &post(&headers(""), CHAT)).await;
        assert!(response.ends_with(r#"{"choices":[1]}"#), "{response}");
    }
    let requests = proxy.backend_requests.lock().expect("requests").len();
    assert_eq!(requests, 3);
}

#[tokio::test]
async fn a_body_shorter_than_its_content_length_is_an_error() {
    let answer = answering(|request| {
        let complete = with_length(request, r#"{"choices":[1]}"#);
        complete[..complete.len() - 4].to_owned()
    });
    let proxy = start(&Fixture::not_repeatable(), answer).await;
    let response = exchange(proxy.address, &post(&headers(""), CHAT)).await;
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert!(
        response.contains("\"code\":3006") && response.contains("not_run"),
        "{response}"
    );
}

#[tokio::test]
async fn a_stream_is_relayed_to_its_end() {
    let answer = answering(|request| chunked(request, &events(request, 3, true), true));
    let proxy = start(&Fixture::default(), answer).await;
    let response = exchange(proxy.address, &post(&headers(""), CHAT_STREAM)).await;
    assert!(
        response.contains("content-type: text/event-stream"),
        "{response}"
    );
    for expected in ["id: 0\n", "id: 1\n", "id: 2\n", "data: [DONE]\n\n"] {
        assert!(response.contains(expected), "{response}");
    }
    assert!(!response.contains("event: error"));
    assert_eq!(
        proxy.state.metrics.first_token_seconds.get_sample_count(),
        1
    );
}

#[tokio::test]
async fn a_truncated_stream_ends_with_an_error_event() {
    let fixture = Fixture {
        resume: millford_api::config::Resume::Never,
        ..Fixture::default()
    };
    for last_chunk in [true, false] {
        let answer =
            answering(move |request| chunked(request, &events(request, 3, false), last_chunk));
        let proxy = start(&fixture, answer).await;
        let response = exchange(proxy.address, &post(&headers(""), CHAT_STREAM)).await;
        assert!(
            response.contains("id: 2\n") && response.contains("event: error\n"),
            "{response}"
        );
        assert!(!response.contains("[DONE]"), "{response}");
    }
}

#[tokio::test]
async fn an_answer_with_another_attempt_id_is_dropped() {
    let answer = answering(|_| {
        let other_request = RawRequest {
            head: "x-millford-attempt: another".to_owned(),
            ..RawRequest::default()
        };
        with_length(&other_request, r#"{"choices":["mismatched"]}"#)
    });
    let proxy = start(&Fixture::not_repeatable(), answer).await;
    let response = exchange(proxy.address, &post(&headers(""), CHAT)).await;
    assert!(response.contains("\"code\":3005"), "{response}");
    assert!(!response.contains("mismatched\"]"), "{response}");
}

#[tokio::test]
async fn a_lookup_keeps_its_path_and_query() {
    let answer = answering(|request| with_length(request, r#"{"station":"Dakar"}"#));
    let proxy = start(&Fixture::default(), answer).await;
    let response = exchange(
        proxy.address,
        &get("/stations/61641?from=1981", &headers("")),
    )
    .await;
    assert!(response.ends_with(r#"{"station":"Dakar"}"#), "{response}");
    let head = proxy.backend_requests.lock().expect("requests")[0]
        .head
        .clone();
    assert!(
        head.starts_with("GET /stations/61641?from=1981 HTTP/1.1"),
        "{head}"
    );
}

#[tokio::test]
async fn a_caller_that_disconnects_frees_its_stream_slot() {
    let answer: Answer = Arc::new(|_| Vec::new());
    let proxy = start(&Fixture::default(), answer).await;
    let mut stream = tokio::net::TcpStream::connect(proxy.address)
        .await
        .expect("connect");
    let request = post(&headers(""), CHAT_STREAM);
    tokio::io::AsyncWriteExt::write_all(&mut stream, &request)
        .await
        .expect("write");
    drop(stream);
    let released = || {
        let received = proxy.agent_received.lock().expect("received");
        let mut frames = received.iter();
        frames.any(|body| matches!(body, local_frame::Body::QuotaRelease(_)))
    };
    wait_for("the slot is released", released).await;
    wait_for("no request is open", || {
        proxy.state.metrics.open_requests.get() == 0
    })
    .await;
}

#[tokio::test]
async fn a_withdrawal_carries_the_age_of_its_attempt() {
    let answer: Answer = Arc::new(|request: &RawRequest| {
        if request.head.starts_with("DELETE") {
            with_length(request, r#"{"state":"unknown"}"#).into_bytes()
        } else {
            Vec::new()
        }
    });
    let proxy = start(&Fixture::default(), answer).await;
    let request = post(&headers("x-millford-deadline-ms: 200\r\n"), CHAT);
    let response = exchange(proxy.address, &request).await;
    assert!(response.contains("\"run\":\"may_have_run\""), "{response}");
    let requests = proxy.backend_requests.lock().expect("requests").clone();
    let mut requests = requests.iter();
    let withdrawal = requests.find(|request| request.head.starts_with("DELETE"));
    let age = withdrawal
        .expect("a withdrawal")
        .header("x-millford-attempt-age-ms");
    let timeout = RequestLimits::default().withdraw_timeout.as_millis();
    let age: u128 = age.parse().expect("a number");
    assert!(age >= timeout + 100, "{age}");
}

#[tokio::test]
async fn a_draining_proxy_refuses_requests_as_not_run() {
    let answer = answering(|request| with_length(request, "{}"));
    let proxy = start(&Fixture::default(), answer).await;
    let ready = exchange(proxy.address, &get("/readyz", "")).await;
    assert!(ready.starts_with("HTTP/1.1 200"), "{ready}");
    proxy.state.set_draining();
    let ready = exchange(proxy.address, &get("/readyz", "")).await;
    assert!(ready.starts_with("HTTP/1.1 503"), "{ready}");
    let response = exchange(proxy.address, &post(&headers(""), CHAT)).await;
    assert!(
        response.contains("\"code\":2006") && response.contains("\"run\":\"not_run\""),
        "{response}"
    );
    assert!(response.contains("retry-after: 1"), "{response}");
    assert!(proxy.backend_requests.lock().expect("requests").is_empty());
}

#[tokio::test]
async fn a_restarted_agent_receives_the_open_streams() {
    let answer: Answer = Arc::new(|_| Vec::new());
    let proxy = start(&Fixture::default(), answer).await;
    let mut stream = tokio::net::TcpStream::connect(proxy.address)
        .await
        .expect("connect");
    let request = post(&headers(""), CHAT_STREAM);
    tokio::io::AsyncWriteExt::write_all(&mut stream, &request)
        .await
        .expect("write");
    wait_for("the request is at the backend", || {
        !proxy.backend_requests.lock().expect("requests").is_empty()
    })
    .await;
    let reported_streams = || {
        let received = proxy.agent_received.lock().expect("received");
        let frames = received.iter().filter_map(|body| match body {
            local_frame::Body::OpenStreams(streams) => Some(streams.tenants.clone()),
            _ => None,
        });
        frames.collect::<Vec<_>>()
    };
    assert_eq!(reported_streams().len(), 1);
    assert!(reported_streams()[0].is_empty());
    proxy.agent.send(stub_agent::disconnect_frame());
    wait_for("the proxy has reconnected", || {
        reported_streams().len() == 2
    })
    .await;
    assert_eq!(reported_streams()[1].len(), 1);
    assert_eq!(
        (
            reported_streams()[1][0].tenant.as_str(),
            reported_streams()[1][0].streams
        ),
        ("library", 1)
    );
}
