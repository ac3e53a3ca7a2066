//! Bad inputs get their documented code and leave the process serving.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::pending;
use millford_api::command::{Claim, SettleClaim};
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_proxy::daemon::server::{HttpLimits, service};
use millford_proxy::proxy_state::ProxyState;
use millford_proxy::request::environment::RequestEnvironment;
use millford_proxy::request::message::{
    BackendRequest, ClaimAnswer, DispatchError, QuotaAnswer, QuotaAsk, QuotaRelease,
    WithdrawAnswer, WithdrawRequest,
};
use support::environment::ScriptedAnswer;
use support::fixture::{Fixture, KEY};
use support::raw_backend::{exchange, get, post};
use tokio::net::TcpListener;

const MAX_BODY_BYTES: u64 = 4 * 1024;
const MAX_HEADER_BYTES: u64 = 2 * 1024;

/// An environment whose backends never connect.
struct Unreachable {
    state: ProxyState,
}

impl RequestEnvironment for Unreachable {
    type Answer = ScriptedAnswer;

    fn state(&self) -> &ProxyState {
        &self.state
    }

    fn now(&self) -> MonotonicTime {
        monotonic_now()
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        tokio::time::sleep(duration)
    }

    fn random(&self) -> u64 {
        4
    }

    async fn ask_quota(&self, _ask: QuotaAsk) -> QuotaAnswer {
        QuotaAnswer::Granted
    }

    fn release_quota(&self, _release: QuotaRelease) {}

    async fn claim(&self, _claim: Claim, _timeout: Duration) -> ClaimAnswer {
        ClaimAnswer::Granted
    }

    fn settle(&self, _settle: SettleClaim) {}

    async fn dispatch(&self, request: BackendRequest) -> Result<ScriptedAnswer, DispatchError> {
        if request.path.contains("never") {
            pending::<()>().await;
        }
        Err(DispatchError::NotConnected)
    }

    async fn withdraw(&self, _request: WithdrawRequest) -> WithdrawAnswer {
        WithdrawAnswer::Unknown
    }

    fn withdraw_later(&self, _request: WithdrawRequest) {}
}

async fn start() -> SocketAddr {
    let environment = Unreachable {
        state: Fixture::default().state(),
    };
    let limits = HttpLimits {
        max_body_bytes: MAX_BODY_BYTES,
        max_header_bytes: MAX_HEADER_BYTES,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let filter = service(Arc::new(environment), limits);
    tokio::spawn(warp::serve(filter).incoming(listener).run());
    address
}

struct Case {
    name: &'static str,
    request: Vec<u8>,
    status: u16,
    code: ResultCode,
}

fn case(name: &'static str, request: Vec<u8>, status: u16, code: ResultCode) -> Case {
    Case {
        name,
        request,
        status,
        code,
    }
}

fn headers(extra: &str) -> String {
    format!("authorization: Bearer {KEY}\r\ncontent-type: application/json\r\n{extra}")
}

/// A case that differs from a good request in its body.
fn body_case(name: &'static str, body: &str, status: u16, code: ResultCode) -> Case {
    case(name, post(&headers(""), body), status, code)
}

const GOOD: &str = r#"{"model":"saga","messages":[{"role":"user","content":"One."}]}"#;

fn header_cases() -> Vec<Case> {
    use ResultCode as Code;
    let json = "content-type: application/json\r\n";
    let with = |extra: &str| post(&headers(extra), GOOD);
    let long_key = format!("idempotency-key: {}\r\n", "k".repeat(300));
    let wide = format!("x-other: {}\r\n", "w".repeat(3000));
    let twice = "idempotency-key: a\r\nidempotency-key: b\r\n";
    let auth_twice = format!("authorization: Bearer {KEY}\r\n");
    let mut binary = post(&headers("x-millford-session: B\r\n"), GOOD);
    let place = binary
        .windows(9)
        .position(|window| window == b"session: ")
        .expect("header")
        + 9;
    binary[place] = 0xff;
    vec![
        case("no key", post(json, GOOD), 401, Code::KeyMissing),
        case(
            "another scheme",
            post(&format!("authorization: Basic {KEY}\r\n{json}"), GOOD),
            401,
            Code::KeyMissing,
        ),
        case(
            "an empty key",
            post(&format!("authorization: Bearer \r\n{json}"), GOOD),
            401,
            Code::KeyMissing,
        ),
        case(
            "an unknown key",
            post(&format!("authorization: Bearer other\r\n{json}"), GOOD),
            401,
            Code::KeyUnknown,
        ),
        case("two keys", with(&auth_twice), 400, Code::BadHeader),
        case(
            "no content type",
            post(&format!("authorization: Bearer {KEY}\r\n"), GOOD),
            415,
            Code::ContentTypeUnsupported,
        ),
        case(
            "another content type",
            post(
                &format!("authorization: Bearer {KEY}\r\ncontent-type: text/plain\r\n"),
                GOOD,
            ),
            415,
            Code::ContentTypeUnsupported,
        ),
        case(
            "a deadline of 0",
            with("x-millford-deadline-ms: 0\r\n"),
            400,
            Code::BadHeader,
        ),
        case(
            "a negative deadline",
            with("x-millford-deadline-ms: -5\r\n"),
            400,
            Code::BadHeader,
        ),
        case(
            "a deadline in words",
            with("x-millford-deadline-ms: soon\r\n"),
            400,
            Code::BadHeader,
        ),
        case(
            "a deadline beyond an hour",
            with("x-millford-deadline-ms: 99999999999\r\n"),
            400,
            Code::BadHeader,
        ),
        case(
            "a long idempotency key",
            with(&long_key),
            400,
            Code::BadHeader,
        ),
        case(
            "an empty idempotency key",
            with("idempotency-key: \r\n"),
            400,
            Code::BadHeader,
        ),
        case("two idempotency keys", with(twice), 400, Code::BadHeader),
        case("a binary session", binary, 400, Code::BadHeader),
        case("wide headers", with(&wide), 431, Code::HeadersTooLarge),
        case(
            "an unknown adapter",
            with("x-millford-adapter: none\r\n"),
            503,
            Code::NoBackend,
        ),
        case(
            "an unknown stage",
            with("x-millford-stage: none\r\n"),
            503,
            Code::NoBackend,
        ),
    ]
}

fn body_cases() -> Vec<Case> {
    use ResultCode as Code;
    let large = format!(r#"{{"model":"saga","pad":"{}"}}"#, "p".repeat(5000));
    let chunks = {
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
        let part = "a".repeat(0x1000);
        let framing = "transfer-encoding: chunked\r\n\r\n";
        format!(
            "{head}{}{framing}1000\r\n{part}\r\n1000\r\n{part}\r\n0\r\n\r\n",
            headers("")
        )
    };
    let messages = r#""messages":[{"role":"user","content":"One."}]"#;
    let with = |fields: &str| format!(r#"{{"model":"saga",{fields},{messages}}}"#);
    vec![
        body_case("no body", "", 400, Code::BadJson),
        body_case("half a body", r#"{"model":"sa"#, 400, Code::BadJson),
        body_case("no JSON", "model=saga", 400, Code::BadJson),
        body_case(
            "bytes after the JSON",
            &format!("{GOOD}x"),
            400,
            Code::BadJson,
        ),
        body_case("an array", "[]", 400, Code::BadField),
        body_case("no model", &format!("{{{messages}}}"), 400, Code::BadField),
        body_case(
            "a model that is a number",
            r#"{"model":7,"messages":[]}"#,
            400,
            Code::BadField,
        ),
        body_case(
            "an empty model",
            &format!(r#"{{"model":"",{messages}}}"#),
            400,
            Code::BadField,
        ),
        body_case("no messages", r#"{"model":"saga"}"#, 400, Code::BadField),
        body_case(
            "messages of text",
            r#"{"model":"saga","messages":"x"}"#,
            400,
            Code::BadField,
        ),
        body_case(
            "empty messages",
            r#"{"model":"saga","messages":[]}"#,
            400,
            Code::BadField,
        ),
        body_case(
            "a message without a role",
            r#"{"model":"saga","messages":[{"content":"x"}]}"#,
            400,
            Code::BadField,
        ),
        body_case(
            "a message without content",
            r#"{"model":"saga","messages":[{"role":"user"}]}"#,
            400,
            Code::BadField,
        ),
        body_case(
            "a stream in words",
            &with(r#""stream":"yes""#),
            400,
            Code::BadField,
        ),
        body_case(
            "a token limit of 0",
            &with(r#""max_tokens":0"#),
            400,
            Code::BadField,
        ),
        body_case(
            "a negative temperature",
            &with(r#""temperature":-1"#),
            400,
            Code::BadField,
        ),
        body_case("several answers", &with(r#""n":3"#), 400, Code::BadField),
        body_case(
            "an unknown model",
            &GOOD.replace("saga", "edda"),
            404,
            Code::ModelUnknown,
        ),
        body_case(
            "an unknown version",
            &GOOD.replace("saga", "saga@9"),
            503,
            Code::NoBackend,
        ),
        body_case("a large body", &large, 413, Code::BodyTooLarge),
        case(
            "a large chunked body",
            chunks.into_bytes(),
            413,
            Code::BodyTooLarge,
        ),
        case(
            "a cut chunked body",
            cut_chunks(),
            400,
            Code::BodyIncomplete,
        ),
    ]
}

fn cut_chunks() -> Vec<u8> {
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
    let framing = "transfer-encoding: chunked\r\n\r\n";
    format!("{head}{}{framing}zz\r\nnot a chunk", headers("")).into_bytes()
}

fn path_cases() -> Vec<Case> {
    use ResultCode as Code;
    let method = |method: &str, path: &str| {
        format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").into_bytes()
    };
    vec![
        case(
            "an unknown path",
            get("/unknown", &headers("")),
            404,
            Code::PathUnknown,
        ),
        case(
            "half a path prefix",
            get("/stationsx", &headers("")),
            404,
            Code::PathUnknown,
        ),
        case(
            "a lookup without a key",
            get("/stations/1", ""),
            401,
            Code::KeyMissing,
        ),
        case(
            "GET of completions",
            get("/v1/chat/completions", &headers("")),
            405,
            Code::MethodNotAllowed,
        ),
        case(
            "PUT of completions",
            method("PUT", "/v1/chat/completions"),
            405,
            Code::MethodNotAllowed,
        ),
        case(
            "DELETE of a lookup",
            method("DELETE", "/stations/1"),
            405,
            Code::MethodNotAllowed,
        ),
        case(
            "POST of health",
            method("POST", "/healthz"),
            405,
            Code::MethodNotAllowed,
        ),
        case(
            "POST to nowhere",
            method("POST", "/nowhere"),
            404,
            Code::PathUnknown,
        ),
        case(
            "a lookup without a backend",
            get("/stations/1", &headers("")),
            503,
            Code::ConnectFailed,
        ),
    ]
}

#[tokio::test]
async fn every_bad_input_gets_its_code_and_the_process_serves_on() {
    let address = start().await;
    let mut cases = header_cases();
    cases.extend(body_cases());
    cases.extend(path_cases());
    assert!(cases.len() >= 25);
    for case in cases {
        let answer = exchange(address, &case.request).await;
        let status = format!("HTTP/1.1 {}", case.status);
        assert!(answer.starts_with(&status), "{}: {answer}", case.name);
        let (_, body) = answer.split_once("\r\n\r\n").expect("a body");
        let body: serde_json::Value = serde_json::from_str(body).expect("a JSON body");
        let error = &body["error"];
        assert_eq!(error["code"], case.code.number(), "{}: {answer}", case.name);
        assert_eq!(error["name"], case.code.name(), "{}", case.name);
        assert_eq!(error["run"], "not_run", "{}", case.name);
        assert!(
            !answer.contains(KEY),
            "{}: the key is never repeated",
            case.name
        );
        let healthy = exchange(address, &get("/healthz", "")).await;
        assert!(healthy.starts_with("HTTP/1.1 200"), "after {}", case.name);
    }
}

#[tokio::test]
async fn bytes_that_are_not_http_leave_the_process_serving() {
    let address = start().await;
    for garbage in [
        &b"\x00\xff\x13nonsense\r\n\r\n"[..],
        b"GET\r\n\r\n",
        b"\r\n\r\n\r\n",
    ] {
        exchange(address, &[garbage, &get("/unknown", "")].concat()).await;
        let healthy = exchange(address, &get("/healthz", "")).await;
        assert!(healthy.starts_with("HTTP/1.1 200"), "{healthy}");
    }
}

#[tokio::test]
async fn metrics_are_in_the_text_form() {
    let address = start().await;
    exchange(address, &get("/stations/1", &headers(""))).await;
    let text = exchange(address, &get("/metrics", "")).await;
    let expected = "millford_proxy_requests_total{code=\"3002\",route=\"sheets\"} 1";
    assert!(text.contains(expected), "{text}");
    for name in [
        "first_sends_total",
        "open_requests",
        "ejections_total",
        "shown_revision",
    ] {
        assert!(
            text.contains(&format!("millford_proxy_{name}")),
            "{name} in {text}"
        );
    }
}
