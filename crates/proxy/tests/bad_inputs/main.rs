//! Tests that invalid requests are refused with their documented codes and that the proxy continues
//! to serve.

mod cases;
#[path = "../support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use cases::{body_cases, header_cases, headers, path_cases};
use futures::future::pending;
use millford_api::command::{Claim, ResolveClaim};
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_data_plane::agent_message::{
    AdmissionReply, AdmissionRequest, ClaimAnswer, QuotaRelease,
};
use millford_data_plane::proxy_state::ProxyState;
use millford_proxy::daemon::server::{HttpLimits, service};
use millford_proxy::request::environment::RequestEnvironment;
use millford_proxy::request::message::{
    BackendRequest, DispatchError, WithdrawAnswer, WithdrawRequest,
};
use support::environment::ScriptedAnswer;
use support::fixture::{Fixture, KEY};
use support::raw_backend::{exchange, get};
use tokio::net::TcpListener;

const MAX_BODY_BYTES: u64 = 4 * 1024;
const MAX_HEADER_BYTES: u64 = 2 * 1024;

/// An environment in which no backend accepts a connection.
struct UnreachableBackends {
    state: ProxyState,
}

impl RequestEnvironment for UnreachableBackends {
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

    async fn request_quota(&self, _request: AdmissionRequest) -> AdmissionReply {
        AdmissionReply::Granted
    }

    fn release_quota(&self, _release: QuotaRelease) {}

    async fn claim(&self, _claim: Claim, _timeout: Duration) -> ClaimAnswer {
        ClaimAnswer::Granted
    }

    fn resolve_claim(&self, _resolution: ResolveClaim) {}

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
    let environment = UnreachableBackends {
        state: Fixture::default().state(),
    };
    let limits = HttpLimits {
        max_body_bytes: MAX_BODY_BYTES,
        max_header_bytes: MAX_HEADER_BYTES,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let filter = service(&Arc::new(environment), limits);
    tokio::spawn(warp::serve(filter).incoming(listener).run());
    address
}

#[tokio::test]
async fn every_invalid_request_gets_its_code_and_the_proxy_continues_to_serve() {
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
            "{}: the response contains the key",
            case.name
        );
        let healthy = exchange(address, &get("/healthz", "")).await;
        assert!(healthy.starts_with("HTTP/1.1 200"), "after {}", case.name);
    }
}

#[tokio::test]
async fn the_proxy_continues_to_serve_after_bytes_that_are_not_http() {
    let address = start().await;
    for invalid in [
        &b"\x00\xff\x13nonsense\r\n\r\n"[..],
        b"GET\r\n\r\n",
        b"\r\n\r\n\r\n",
    ] {
        exchange(address, &[invalid, &get("/unknown", "")].concat()).await;
        let healthy = exchange(address, &get("/healthz", "")).await;
        assert!(healthy.starts_with("HTTP/1.1 200"), "{healthy}");
    }
}

#[tokio::test]
async fn metrics_are_in_the_text_format() {
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
