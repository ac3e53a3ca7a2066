//! HTTP client that tries the control nodes in turn.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Method;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use millford_core::ResultCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::PLAN_PATH;
use super::attempt::{AttemptOutcome, decode};
use crate::failure::Failure;
use crate::invocation::CommonOptions;
use crate::operator_key::OperatorKey;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for one response. Without it, a partitioned node would block the attempts at other nodes.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two rounds, each of which tries all nodes once.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// A request to the control nodes.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL.
    pub path: String,
    /// JSON body; empty if the request has none.
    pub body: Bytes,
}

impl Request {
    /// Creates a GET request, which has no body.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            body: Bytes::new(),
        }
    }

    /// Creates a request with a JSON body.
    ///
    /// # Errors
    /// [`ResultCode::BadJson`] when the body cannot be serialized.
    pub fn with_json(
        method: Method,
        path: impl Into<String>,
        body: &impl Serialize,
    ) -> Result<Self, Failure> {
        let body = serde_json::to_vec(body)
            .map_err(|error| Failure::with_message(ResultCode::BadJson, error.to_string()))?;
        Ok(Self {
            method,
            path: path.into(),
            body: body.into(),
        })
    }

    /// Returns whether executing the request changes state.
    fn is_write(&self) -> bool {
        self.method != Method::GET && self.path != PLAN_PATH
    }
}

/// HTTP client for the control nodes given on the command line.
pub struct ControlClient {
    http: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<String>,
    key: OperatorKey,
    timeout: Duration,
}

impl ControlClient {
    /// Creates a client with the addresses and the timeout of the command line.
    ///
    /// # Errors
    /// [`ResultCode::BadArgument`] when there is no address.
    pub fn new(common: &CommonOptions, key: OperatorKey) -> Result<Self, Failure> {
        if common.addresses.is_empty() {
            let text = "no control node address: use --control or MILLFORD_CONTROL";
            return Err(Failure::with_message(ResultCode::BadArgument, text));
        }
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Ok(Self {
            http,
            addresses: common.addresses.clone(),
            key,
            timeout: common.timeout,
        })
    }

    /// Sends the request to one node after another until it succeeds, is rejected permanently, or the
    /// timeout expires.
    ///
    /// Only for idempotent requests: reads, drains, and orders with an id.
    ///
    /// # Errors
    /// The rejection; [`ResultCode::ServerUnreachable`] when no node responded before the deadline;
    /// [`ResultCode::OrderUncertain`] when a node may have executed a write.
    pub async fn send<T: DeserializeOwned>(&self, request: &Request) -> Result<T, Failure> {
        let deadline = Instant::now() + self.timeout;
        let mut may_have_executed = false;
        loop {
            let mut last = None;
            for address in &self.addresses {
                let outcome = self.attempt(address, request, deadline).await;
                match outcome {
                    AttemptOutcome::Succeeded(body) => return decode(&body),
                    AttemptOutcome::Rejected(failure) if !failure.is_retryable() => {
                        return Err(failure);
                    }
                    outcome => {
                        may_have_executed |= outcome.may_have_executed();
                        last = Some(outcome);
                    }
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                let uncertain = may_have_executed && request.is_write();
                return Err(final_failure(last, uncertain));
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Sends the request once, to the only node given on the command line.
    ///
    /// For requests that must not reach a second node.
    ///
    /// # Errors
    /// [`ResultCode::BadArgument`] when several nodes are given; otherwise as [`ControlClient::send`].
    pub async fn send_once<T: DeserializeOwned>(&self, request: &Request) -> Result<T, Failure> {
        let [address] = self.addresses.as_slice() else {
            let text = "give exactly one control node with --control";
            return Err(Failure::with_message(ResultCode::BadArgument, text));
        };
        let deadline = Instant::now() + self.timeout;
        match self.attempt(address, request, deadline).await {
            AttemptOutcome::Succeeded(body) => decode(&body),
            other => {
                let uncertain = other.may_have_executed();
                Err(final_failure(Some(other), uncertain))
            }
        }
    }

    async fn attempt(&self, address: &str, request: &Request, deadline: Instant) -> AttemptOutcome {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let exchange = self.exchange(address, request);
        match tokio::time::timeout(remaining.min(RESPONSE_TIMEOUT), exchange).await {
            Ok(outcome) => outcome,
            Err(_) => AttemptOutcome::ResponseLost(format!("{address}: no response in time")),
        }
    }

    async fn exchange(&self, address: &str, request: &Request) -> AttemptOutcome {
        let built = hyper::Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{address}{}", request.path))
            .header(AUTHORIZATION, self.key.header())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(request.body.clone()));
        let built = match built {
            Ok(built) => built,
            Err(error) => return AttemptOutcome::NotSent(error.to_string()),
        };
        let response = match self.http.request(built).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return AttemptOutcome::NotSent(format!("{address}: no connection"));
            }
            Err(error) => return AttemptOutcome::ResponseLost(format!("{address}: {error}")),
        };
        let status = response.status();
        match Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
        {
            Ok(body) => AttemptOutcome::from_response(status, body.to_bytes().to_vec()),
            Err(error) => AttemptOutcome::ResponseLost(format!("{address}: {error}")),
        }
    }
}

/// Returns the failure to report when a request is not retried any more, from its last outcome. A write
/// that a node may have executed is reported as uncertain, whatever the last outcome was.
fn final_failure(last: Option<AttemptOutcome>, uncertain: bool) -> Failure {
    let text = match last {
        Some(AttemptOutcome::Rejected(failure)) if !uncertain => return failure,
        Some(AttemptOutcome::Rejected(failure)) => failure.message,
        Some(AttemptOutcome::NotSent(text) | AttemptOutcome::ResponseLost(text)) => text,
        Some(AttemptOutcome::Succeeded(_)) | None => String::new(),
    };
    if uncertain {
        return Failure::with_message(ResultCode::OrderUncertain, text);
    }
    Failure::with_message(ResultCode::ServerUnreachable, text)
}
