//! The emulated backend implements the backend protocol and misbehaves as its fault switches say.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use millford_lab::answer_text::{AnswerText, marker_text};
use millford_lab::caller::http_client::{get, send, send_json};
use millford_lab::caller::sse::SseReader;
use millford_lab::emulator::execution::{Execution, ExecutionEnd};
use millford_lab::emulator::execution_log::read_execution_log;
use millford_lab::emulator::faults::{EndlessPart, FaultSwitches};
use millford_lab::emulator::{BackendKind, BackendOptions, BackendServer};
use millford_lab::fleet::SitePlan;
use millford_lab::fleet::site::LARGE_MODEL;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(10);
/// An age above that of any backend in a test.
const HOUR_MILLIS: u64 = 3_600_000;

async fn backend() -> BackendServer {
    let mut options = BackendOptions::standalone("backend", BackendKind::Model);
    options.declarations = SitePlan::model_declarations();
    options.speed = 20.0;
    BackendServer::start(options).await.expect("a free port")
}

fn body(marker: &str, chunks: u64, stream: bool) -> Value {
    json!({
        "model": LARGE_MODEL,
        "stream": stream,
        "max_tokens": chunks,
        "messages": [{"role": "user", "content": format!("Hello {}", marker_text(marker))}],
    })
}

fn request(attempt: &str) -> http::request::Builder {
    Request::post("/v1/chat/completions")
        .header("host", "backend")
        .header("content-type", "application/json")
        .header("x-millford-attempt", attempt)
        .header("x-millford-run", "run-1")
}

async fn post(address: SocketAddr, attempt: &str, body: &Value) -> Response<Incoming> {
    let request = request(attempt)
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a valid request");
    timeout(TIMEOUT, send(address, request))
        .await
        .expect("in time")
        .expect("a response")
}

async fn events(response: Response<Incoming>) -> Vec<String> {
    let bytes = response
        .into_body()
        .collect()
        .await
        .expect("a complete body")
        .to_bytes();
    let mut reader = SseReader::default();
    reader
        .push(&bytes)
        .into_iter()
        .map(|event| event.data)
        .collect()
}

async fn executions(address: SocketAddr) -> Vec<Execution> {
    let response = get(address, "/v1/executions", None)
        .await
        .expect("a response");
    serde_json::from_slice(&response.body).expect("a list")
}

async fn withdraw(address: SocketAddr, attempt: &str, age_millis: Option<u64>) -> String {
    let mut builder = Request::delete(format!("/v1/attempts/{attempt}")).header("host", "backend");
    if let Some(millis) = age_millis {
        builder = builder.header("x-millford-attempt-age-ms", millis);
    }
    let request = builder.body(Full::default()).expect("a valid request");
    let response = timeout(TIMEOUT, send(address, request)).await;
    let response = response.expect("in time").expect("a response");
    let bytes = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    String::from_utf8(bytes.to_bytes().to_vec()).expect("text")
}

async fn set_faults(address: SocketAddr, faults: &FaultSwitches) {
    let response = send_json(address, Method::PUT, "/admin/faults", faults)
        .await
        .expect("a response");
    assert_eq!(response.status, StatusCode::OK);
}

#[tokio::test]
async fn a_stream_has_every_chunk_in_order_and_an_end_marker() {
    let server = backend().await;
    let response = post(server.address(), "a-1", &body("m1", 5, true)).await;
    assert_eq!(response.headers()["x-millford-attempt"], "a-1");
    let events = events(response).await;
    assert_eq!(events.len(), 6);
    assert_eq!(events[5], "[DONE]");
    let answer = AnswerText::new("m1", "run-1");
    for (sequence, event) in events[..5].iter().enumerate() {
        let event: Value = serde_json::from_str(event).expect("JSON");
        let sequence = sequence as u64;
        assert_eq!(event["millford"], json!({"run": "run-1", "seq": sequence}));
        assert_eq!(
            event["choices"][0]["delta"]["content"],
            answer.chunk(sequence)
        );
        assert_eq!(event["usage"].is_object(), sequence == 4);
    }
    let runs = executions(server.address()).await;
    assert_eq!(runs.len(), 1);
    assert_eq!(
        (runs[0].marker.as_str(), runs[0].end),
        ("m1", Some(ExecutionEnd::Completed))
    );
}

#[tokio::test]
async fn a_resumed_run_starts_at_the_requested_chunk() {
    let server = backend().await;
    let body = body("m1", 6, true);
    let request = request("a-2")
        .header("x-millford-resume-from", "4")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a valid request");
    let response = send(server.address(), request).await.expect("a response");
    assert_eq!(response.headers()["x-millford-resume-at"], "4");
    let events = events(response).await;
    let first: Value = serde_json::from_str(&events[0]).expect("JSON");
    assert_eq!(first["millford"]["seq"], 4);
    let expected = AnswerText::new("m1", "run-1").chunk(4);
    assert_eq!(first["choices"][0]["delta"]["content"], expected);
    assert_eq!(events.len(), 3);
    assert_eq!(executions(server.address()).await[0].resume_from, 4);
}

#[tokio::test]
async fn a_withdrawn_attempt_never_runs_and_an_attempt_id_runs_once() {
    let server = backend().await;
    let address = server.address();
    let state = withdraw(address, "a-1", Some(0)).await;
    assert_eq!(state, r#"{"state":"withdrawn"}"#);
    let refused = post(address, "a-1", &body("m1", 2, false)).await;
    assert_eq!(refused.headers()["x-millford-run-state"], "not_run");
    assert!(executions(address).await.is_empty());
    let done = post(address, "a-2", &body("m2", 2, false)).await;
    assert_eq!(done.status(), StatusCode::OK);
    done.into_body().collect().await.expect("a complete body");
    let again = post(address, "a-2", &body("m2", 2, false)).await;
    assert_eq!(again.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(again.headers()["x-millford-run-state"], "not_run");
    assert_eq!(executions(address).await.len(), 1);
    let state = withdraw(address, "a-2", Some(HOUR_MILLIS)).await;
    assert_eq!(state, r#"{"state":"finished"}"#);
}

#[tokio::test]
async fn a_backend_started_after_the_attempt_does_not_confirm_that_it_did_not_run() {
    let server = backend().await;
    let address = server.address();
    // An earlier process of the backend may have run these attempts.
    for age in [Some(HOUR_MILLIS), None] {
        for _ in 0..2 {
            let state = withdraw(address, "a-1", age).await;
            assert_eq!(state, r#"{"state":"unknown"}"#, "{age:?}");
        }
    }
    // The withdrawal still takes effect on this process: the attempt is refused.
    let refused = post(address, "a-1", &body("m1", 2, false)).await;
    assert_eq!(refused.headers()["x-millford-run-state"], "not_run");
    assert!(executions(address).await.is_empty());
}

#[tokio::test]
async fn a_rejecting_backend_executes_nothing() {
    let server = backend().await;
    let faults = FaultSwitches {
        refuse: true,
        ..FaultSwitches::default()
    };
    set_faults(server.address(), &faults).await;
    let refused = post(server.address(), "a-1", &body("m1", 2, true)).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers()["x-millford-run-state"], "not_run");
    assert!(executions(server.address()).await.is_empty());
}

#[tokio::test]
async fn a_truncated_response_has_no_end_marker() {
    let server = backend().await;
    let faults = FaultSwitches {
        truncate_after: Some(2),
        ..FaultSwitches::default()
    };
    set_faults(server.address(), &faults).await;
    let stream = post(server.address(), "a-1", &body("m1", 5, true)).await;
    assert!(stream.into_body().collect().await.is_err());
    let plain = post(server.address(), "a-2", &body("m2", 5, false)).await;
    assert!(plain.into_body().collect().await.is_err());
    let ends: Vec<_> = executions(server.address())
        .await
        .iter()
        .map(|run| run.end)
        .collect();
    assert_eq!(ends, [Some(ExecutionEnd::Cancelled); 2]);
}

#[tokio::test]
async fn a_crossed_response_names_another_attempt() {
    let server = backend().await;
    let faults = FaultSwitches {
        crossed: true,
        ..FaultSwitches::default()
    };
    set_faults(server.address(), &faults).await;
    let response = post(server.address(), "a-1", &body("m1", 2, true)).await;
    assert_ne!(response.headers()["x-millford-attempt"], "a-1");
}

#[tokio::test]
async fn stray_bytes_follow_the_complete_response() {
    for stream in [false, true] {
        let server = backend().await;
        let faults = FaultSwitches {
            stray_bytes: true,
            ..FaultSwitches::default()
        };
        set_faults(server.address(), &faults).await;
        let bytes = raw_exchange(server.address(), &body("m1", 3, stream)).await;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        assert!(text.ends_with("\r\n\r\nstray"), "{text}");
        let end = if stream {
            "[DONE]\n\n\r\n0\r\n\r\nHTTP/1.1 200"
        } else {
            "}HTTP/1.1 200"
        };
        assert!(text.contains(end), "{text}");
    }
}

/// Sends one request over a raw TCP connection and reads to the end of the stray bytes.
async fn raw_exchange(address: SocketAddr, body: &Value) -> Vec<u8> {
    let mut connection = tokio::net::TcpStream::connect(address)
        .await
        .expect("a connection");
    let body = body.to_string();
    let length = body.len();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: b\r\nx-millford-attempt: a\r\n\
         x-millford-run: r\r\ncontent-length: {length}\r\n\r\n"
    );
    connection
        .write_all(head.as_bytes())
        .await
        .expect("written");
    connection
        .write_all(body.as_bytes())
        .await
        .expect("written");
    let mut bytes = Vec::new();
    let read = async {
        while !bytes.ends_with(b"stray") {
            let count = connection.read_buf(&mut bytes).await.expect("readable");
            assert!(count > 0, "ended: {}", String::from_utf8_lossy(&bytes));
        }
    };
    timeout(TIMEOUT, read).await.expect("stray bytes in time");
    bytes
}

#[tokio::test]
async fn an_unresponsive_backend_sends_nothing_until_it_recovers() {
    let server = backend().await;
    let address = server.address();
    let mut response = post(address, "a-1", &body("m1", 2000, true)).await;
    response
        .body_mut()
        .frame()
        .await
        .expect("a frame")
        .expect("an intact frame");
    set_faults(
        address,
        &FaultSwitches {
            unresponsive: true,
            ..FaultSwitches::default()
        },
    )
    .await;
    let health = tokio::spawn(async move { get(address, "/v1/health", None).await });
    // `/v1/executions` ignores the switch, so its response shows that only the health request is pending.
    assert_eq!(executions(address).await.len(), 1);
    assert!(!health.is_finished());
    set_faults(address, &FaultSwitches::default()).await;
    let health = timeout(TIMEOUT, health)
        .await
        .expect("in time")
        .expect("joined");
    assert_eq!(health.expect("a response").status, StatusCode::OK);
}

#[tokio::test]
async fn a_shared_prefix_is_cached_and_a_lost_connection_releases_the_run() {
    let server = backend().await;
    let long = "The rain of the season. ".repeat(400);
    let mut body = body("m1", 1, false);
    body["messages"][0]["content"] = json!(long.clone());
    let cached = async |attempt: &str| {
        let response = post(server.address(), attempt, &body).await;
        let bytes = response
            .into_body()
            .collect()
            .await
            .expect("a complete body")
            .to_bytes();
        let value: Value = serde_json::from_slice(&bytes).expect("JSON");
        value["usage"]["cached_tokens"].as_u64().expect("a number")
    };
    assert_eq!(cached("a-1").await, 0);
    assert!(cached("a-2").await > 2000);
    body["max_tokens"] = json!(100_000);
    body["stream"] = json!(true);
    let mut response = post(server.address(), "a-3", &body).await;
    response
        .body_mut()
        .frame()
        .await
        .expect("a frame")
        .expect("an intact frame");
    drop(response);
    let freed = async {
        while executions(server.address()).await[2].end.is_none() {
            tokio::task::yield_now().await;
        }
    };
    timeout(TIMEOUT, freed)
        .await
        .expect("the run ends with its connection");
}

#[tokio::test]
async fn the_execution_log_is_read_back_from_its_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("executions");
    let mut options = BackendOptions::standalone("backend", BackendKind::Lookup);
    options.execution_log = Some(path.clone());
    let server = BackendServer::start(options).await.expect("a free port");
    let response = get(server.address(), "/catalogue/7?request=m9", None)
        .await
        .expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    let runs = read_execution_log(&path).expect("readable");
    assert_eq!(runs, executions(server.address()).await);
    assert_eq!((runs[0].marker.as_str(), runs.len()), ("m9", 1));
}

/// Reads until at least this many bytes have come, and returns the first of them as text.
async fn first_bytes(address: SocketAddr, attempt: &str, stream: bool, least: usize) -> String {
    let body = body("m1", 2, stream).to_string();
    let length = body.len();
    let mut connection = TcpStream::connect(address).await.expect("a connection");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-millford-attempt: {attempt}\r\n\
         x-millford-run: run-1\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let sent = connection.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    let mut received = vec![0; least];
    let read = timeout(TIMEOUT, connection.read_exact(&mut received)).await;
    read.expect("in time").expect("the response goes on");
    String::from_utf8_lossy(&received[..200]).into_owned()
}

#[tokio::test]
async fn endless_responses_go_on() {
    let server = backend().await;
    let cases = [
        (EndlessPart::Head, "HTTP/1.1 200 OK\r\nx-endless: xxx"),
        (
            EndlessPart::Interim,
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100",
        ),
        (EndlessPart::Body, "HTTP/1.1 200 OK\r\n"),
    ];
    for (part, expected) in cases {
        let faults = FaultSwitches {
            endless: Some(part),
            ..FaultSwitches::default()
        };
        set_faults(server.address(), &faults).await;
        for stream in [true, false] {
            let attempt = format!("{part:?}-{stream}");
            let start = first_bytes(server.address(), &attempt, stream, 4 << 20).await;
            assert!(start.starts_with(expected), "{part:?}: {start}");
        }
    }
}
