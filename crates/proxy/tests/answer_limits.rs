//! Backends that send without an end, against the daemon's request path with its real HTTP client: what the caller gets,
//! what is held against the backend, and what the process holds meanwhile.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use millford_api::local::ProxyHello;
use millford_bounded_io::{BufferError, MemoryBudget, Reader, Source};
use millford_core::Duration;
use millford_data_plane::agent_link::agent_link;
use millford_data_plane::limits::RequestLimits;
use millford_data_plane::proxy_state::ProxyState;
use millford_proxy::daemon::backend_client::BackendClient;
use millford_proxy::daemon::environment::DaemonEnvironment;
use millford_proxy::daemon::server::{HttpLimits, service};
use millford_proxy::request::sse::{SseDecoder, SseError};
use millford_routing::EjectionReason;
use millford_transport::FrameLimits;
use support::fixture::{Fixture, KEY};
use support::raw_backend::{Answer, RawRequest, exchange, post};
use support::{raw_backend, stub_agent};
use tokio::net::TcpListener;

const CHAT: &str = r#"{"model":"saga","messages":[{"role":"user","content":"One."}]}"#;
const CHAT_STREAM: &str =
    r#"{"model":"saga","stream":true,"messages":[{"role":"user","content":"One."}]}"#;
const MAX_EVENT_BYTES: usize = 64 * 1024;
const MAX_ANSWER_BYTES: usize = 128 * 1024;
/// Most bytes of answers that the process holds.
const ANSWER_BYTES: usize = 256 * 1024;
/// More than any limit.
const ENDLESS_BYTES: usize = 1024 * 1024;
/// Callers at the same time.
const CALLERS: usize = 12;

struct Proxy {
    address: SocketAddr,
    state: Arc<ProxyState>,
}

impl Proxy {
    /// Starts a proxy that holds at most `answer_bytes` of answers.
    async fn start(answer: Answer, answer_bytes: usize) -> Self {
        let (backend, _) = raw_backend::start(answer).await;
        let items = Fixture::default().feed_items(&backend.to_string());
        let (agent_address, _) = stub_agent::start(items).await;
        let state = Arc::new(ProxyState::new(RequestLimits {
            max_event_bytes: MAX_EVENT_BYTES,
            max_answer_bytes: MAX_ANSWER_BYTES,
            answer_bytes,
            ..RequestLimits::default()
        }));
        let hello = ProxyHello::default();
        let limits = FrameLimits::default();
        let (agent, task) = agent_link(Arc::clone(&state), agent_address, hello, limits);
        tokio::spawn(task.run());
        let environment = DaemonEnvironment {
            proxy_state: Arc::clone(&state),
            agent,
            backends: BackendClient {
                connect_timeout: Duration::from_millis(300),
                max_head_bytes: 16 * 1024,
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
        while !state.is_ready() {
            tokio::task::yield_now().await;
        }
        Self { address, state }
    }

    /// Sends requests of several callers at once. Returns their answers.
    async fn ask(&self, body: &str) -> Vec<String> {
        let headers = format!("authorization: Bearer {KEY}\r\ncontent-type: application/json\r\n");
        let request = post(&headers, body);
        let callers = (0..CALLERS).map(|_| exchange(self.address, &request));
        futures::future::join_all(callers).await
    }

    fn ejections(&self) -> Vec<EjectionReason> {
        self.state.health.ejections().into_values().collect()
    }

    fn excesses(&self) -> u64 {
        let over_limit = &self.state.metrics.over_limit;
        over_limit.with_label_values(&["answer"]).get()
    }
}

/// Answers every request with the result of `make`, and confirms every withdrawal.
fn answering(make: impl Fn(&RawRequest) -> String + Send + Sync + 'static) -> Answer {
    Arc::new(move |request| {
        if request.head.starts_with("DELETE") {
            let body = r#"{"state":"withdrawn"}"#;
            let length = body.len();
            return format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
                .into_bytes();
        }
        make(request).into_bytes()
    })
}

fn start_of_answer(request: &RawRequest, content_type: &str) -> String {
    let attempt = request.header("x-millford-attempt");
    format!("HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\nx-millford-attempt: {attempt}\r\n")
}

fn chunked(request: &RawRequest, content_type: &str, text: &str) -> String {
    let start = start_of_answer(request, content_type);
    let size = text.len();
    format!("{start}transfer-encoding: chunked\r\n\r\n{size:x}\r\n{text}\r\n")
}

fn endless_event(request: &RawRequest) -> String {
    let text = format!("data: {}", "x".repeat(ENDLESS_BYTES));
    chunked(request, "text/event-stream", &text)
}

fn endless_body(request: &RawRequest) -> String {
    chunked(request, "application/json", &"x".repeat(ENDLESS_BYTES))
}

fn endless_head(request: &RawRequest) -> String {
    let start = start_of_answer(request, "application/json");
    format!("{start}x-endless: {}", "x".repeat(ENDLESS_BYTES))
}

fn endless_interim(_: &RawRequest) -> String {
    "HTTP/1.1 100 Continue\r\n\r\n".repeat(ENDLESS_BYTES / 25)
}

fn endless_trailers(request: &RawRequest) -> String {
    let start = chunked(request, "application/json", "{}");
    format!("{start}0\r\n{}", "x-more: 1\r\n".repeat(ENDLESS_BYTES / 11))
}

/// Guards against a chat proxy that keeps what a backend sends without an end (issue 42).
#[tokio::test]
async fn an_answer_without_an_end_is_refused_and_held_against_its_backend() {
    type Make = fn(&RawRequest) -> String;
    let cases: [(&str, Make); 5] = [
        (CHAT_STREAM, endless_event),
        (CHAT, endless_body),
        (CHAT, endless_head),
        (CHAT, endless_interim),
        (CHAT, endless_trailers),
    ];
    for (number, (chat, make)) in cases.into_iter().enumerate() {
        let proxy = Proxy::start(answering(make), ANSWER_BYTES).await;
        for answer in proxy.ask(chat).await {
            let is_refusal = answer.starts_with("HTTP/1.1 50");
            assert!(
                is_refusal,
                "case {number}: {}",
                &answer[..answer.len().min(300)]
            );
        }
        let ejections = proxy.ejections();
        let is_held = |reason: &EjectionReason| *reason == EjectionReason::OverLimit;
        assert!(!ejections.is_empty(), "case {number}");
        assert!(
            ejections.iter().all(is_held),
            "case {number}: {ejections:?}"
        );
        assert!(proxy.excesses() > 0, "case {number}");
        let held = proxy.state.memory.used(Reader::Answer);
        assert_eq!(held, 0, "case {number}: all is released");
    }
}

#[tokio::test]
async fn a_long_event_within_the_limit_is_relayed_whole() {
    let content = "x".repeat(MAX_EVENT_BYTES - 1000);
    let text = content.clone();
    let answer = answering(move |request| {
        let run = request.header("x-millford-run");
        let event = format!(
            "data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}],\
             \"millford\":{{\"run\":\"{run}\",\"seq\":0}}}}\n\ndata: [DONE]\n\n"
        );
        let start = chunked(request, "text/event-stream", &event);
        format!("{start}0\r\n\r\n")
    });
    let proxy = Proxy::start(answer, usize::MAX).await;
    for answer in proxy.ask(CHAT_STREAM).await {
        assert!(answer.starts_with("HTTP/1.1 200"), "{}", &answer[..200]);
        assert!(answer.contains(&content));
        assert!(answer.contains("[DONE]"));
    }
    assert!(proxy.ejections().is_empty());
}

#[test]
fn an_event_over_the_limit_is_an_excess_however_it_is_cut() {
    for part in [1, 7, 1000] {
        let unlimited = MemoryBudget::unlimited();
        let mut decoder = SseDecoder::new(&unlimited, Source::Connection, MAX_EVENT_BYTES);
        decoder.push(b"data: ");
        let block = vec![b'x'; part];
        let mut result = Ok(None);
        for _ in 0..=MAX_EVENT_BYTES / part {
            decoder.push(&block);
            result = decoder.next_event();
            if result.is_err() {
                break;
            }
        }
        let excess = SseError::OverLimit(BufferError::TooLarge);
        assert_eq!(result, Err(excess), "parts of {part} bytes");
    }
}

#[test]
fn events_are_found_however_they_are_cut() {
    let text = b"event: a\r\ndata: one\r\n\r\n\n\ndata: two\n\ndata: three\ndata: four\n\n";
    for part in 1..text.len() {
        let unlimited = MemoryBudget::unlimited();
        let mut decoder = SseDecoder::new(&unlimited, Source::Connection, MAX_EVENT_BYTES);
        let mut found = Vec::new();
        for block in text.chunks(part) {
            decoder.push(block);
            while let Some(event) = decoder.next_event().expect("valid events") {
                found.push((event.name, event.data));
            }
        }
        let expected = [("a", "one"), ("", "two"), ("", "three\nfour")];
        let expected = expected.map(|(name, data)| (name.to_owned(), data.to_owned()));
        assert_eq!(found, expected, "parts of {part} bytes");
        assert_eq!(decoder.pending_bytes(), 0);
    }
}
