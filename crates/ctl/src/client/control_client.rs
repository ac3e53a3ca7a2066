//! HTTP client that goes from one control node to the next.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Method;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use millford_core::ResultCode;
use serde::de::DeserializeOwned;

use super::attempt::{Attempt, decode};
use crate::failure::Failure;
use crate::invocation::CommonOptions;
use crate::operator_key::OperatorKey;

/// Longest time for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for one answer; a cut-off node is silent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after every node was tried.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Largest answer that is read, in bytes.
const LARGEST_ANSWER: usize = 256 * 1024 * 1024;

/// A request that any control node may answer.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// JSON body; empty for none.
    pub body: Bytes,
}

impl Request {
    /// A read.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            body: Bytes::new(),
        }
    }

    /// A request with a JSON body.
    #[must_use]
    pub fn with_body(method: Method, path: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            method,
            path: path.into(),
            body: body.into(),
        }
    }
}

/// Client of all control nodes.
pub struct ControlClient {
    http: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<String>,
    key: OperatorKey,
    timeout: Duration,
}

impl ControlClient {
    /// A client for the addresses and the key of the command line.
    ///
    /// # Errors
    /// When no address is named.
    pub fn new(common: &CommonOptions, key: OperatorKey) -> Result<Self, Failure> {
        if common.addresses.is_empty() {
            let text = "no control node: use --control or MILLFORD_CONTROL";
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

    /// Sends the same request to one node after the other until one answers for good.
    ///
    /// Only for requests that may be carried out twice: reads, and orders that carry an id.
    ///
    /// # Errors
    /// The refusal; [`ResultCode::ServerUnreachable`] when no node was reached in time;
    /// [`ResultCode::OrderUncertain`] when one may have carried out the request.
    pub async fn send<T: DeserializeOwned>(&self, request: &Request) -> Result<T, Failure> {
        let until = Instant::now() + self.timeout;
        let mut may_have_worked = false;
        loop {
            let mut last = None;
            for address in &self.addresses {
                let attempt = self.attempt(address, request, until).await;
                if let Attempt::Answered(body) = &attempt {
                    return decode(body);
                }
                if let (Attempt::Refused(failure), false) = (&attempt, attempt.is_passing()) {
                    return Err(failure.clone());
                }
                may_have_worked |= attempt.may_have_worked();
                last = Some(attempt);
            }
            if Instant::now() + ROUND_PAUSE >= until {
                return Err(give_up(last, may_have_worked && is_order(request)));
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Sends a request to the only node that is named, once.
    ///
    /// For what must not reach a second node.
    ///
    /// # Errors
    /// The refusal, or as [`ControlClient::send`].
    pub async fn send_once<T: DeserializeOwned>(&self, request: &Request) -> Result<T, Failure> {
        let [address] = self.addresses.as_slice() else {
            let text = "name exactly one control node with --control";
            return Err(Failure::with_message(ResultCode::BadArgument, text));
        };
        let until = Instant::now() + self.timeout;
        match self.attempt(address, request, until).await {
            Attempt::Answered(body) => decode(&body),
            other => {
                let uncertain = other.may_have_worked();
                Err(give_up(Some(other), uncertain))
            }
        }
    }

    async fn attempt(&self, address: &str, request: &Request, until: Instant) -> Attempt {
        let left = until.saturating_duration_since(Instant::now());
        let answer = self.exchange(address, request);
        match tokio::time::timeout(left.min(ANSWER_TIMEOUT), answer).await {
            Ok(attempt) => attempt,
            Err(_) => Attempt::Lost(format!("{address}: no answer in time")),
        }
    }

    async fn exchange(&self, address: &str, request: &Request) -> Attempt {
        let built = hyper::Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{address}{}", request.path))
            .header(AUTHORIZATION, self.key.header())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(request.body.clone()));
        let built = match built {
            Ok(built) => built,
            Err(error) => return Attempt::NotSent(error.to_string()),
        };
        let response = match self.http.request(built).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Attempt::NotSent(format!("{address}: no connection"));
            }
            Err(error) => return Attempt::Lost(format!("{address}: {error}")),
        };
        let success = response.status().is_success();
        match Limited::new(response.into_body(), LARGEST_ANSWER)
            .collect()
            .await
        {
            Ok(body) => Attempt::of_answer(success, body.to_bytes().to_vec()),
            Err(error) => Attempt::Lost(format!("{address}: {error}")),
        }
    }
}

fn is_order(request: &Request) -> bool {
    request.method != Method::GET && request.path != "/v1/plan"
}

fn give_up(last: Option<Attempt>, uncertain: bool) -> Failure {
    let text = match last {
        Some(Attempt::Refused(failure)) if !uncertain => return failure,
        Some(Attempt::Refused(failure)) => failure.message,
        Some(Attempt::NotSent(text) | Attempt::Lost(text)) => text,
        Some(Attempt::Answered(_)) | None => String::new(),
    };
    if uncertain {
        return Failure::with_message(ResultCode::OrderUncertain, text);
    }
    Failure::with_message(ResultCode::ServerUnreachable, text)
}
