//! HTTP/1.1 client for the backends. Each request uses a new connection.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Request, Response, request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use millford_bounded_io::{ClientConnection, is_framing_excess, open_http};
use millford_core::Duration;
use millford_core::time::monotonic_now;
use serde::Deserialize;
use tokio::net::TcpStream;

use crate::backend_protocol::{
    ADAPTER_HEADER, ATTEMPT_AGE_HEADER, ATTEMPT_HEADER, ATTEMPTS_PATH, DEADLINE_HEADER,
    HEALTH_PATH, RESUME_AT_HEADER, RESUME_FROM_HEADER, RUN_HEADER, RUN_STATE_HEADER,
    RUN_STATE_NOT_RUN, STAGE_HEADER, VERSION_HEADER,
};
use crate::request::environment::BackendAnswer;
use crate::request::message::{
    AnswerError, AnswerHead, BackendMethod, BackendRequest, DispatchError, Framing, WithdrawAnswer,
    WithdrawRequest,
};

/// Largest answer to a probe or a withdrawal, in bytes.
const MAX_SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// Sends requests to backends, each on its own connection.
#[derive(Clone, Copy, Debug)]
pub struct BackendClient {
    /// Longest time for opening a TCP connection.
    pub connect_timeout: Duration,
    /// Largest head of an answer, in bytes.
    pub max_head_bytes: usize,
}

/// An answer from a backend, with the connection that its body is read from.
#[derive(Debug)]
pub struct HttpAnswer {
    head: AnswerHead,
    body: Incoming,
    connection: ClientConnection,
}

#[derive(Deserialize)]
struct WithdrawBody {
    state: String,
}

impl BackendAnswer for HttpAnswer {
    fn head(&self) -> &AnswerHead {
        &self.head
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>, AnswerError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| self.answer_error(&error))?;
            if let Ok(data) = frame.into_data() {
                self.connection.allowance.renew();
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

impl HttpAnswer {
    fn answer_error(&self, error: &hyper::Error) -> AnswerError {
        if self.connection.allowance.is_exceeded() || is_framing_excess(error) {
            AnswerError::OverLimit
        } else {
            AnswerError::Disconnected
        }
    }
}

impl BackendClient {
    /// Sends one attempt and reads the head of its answer.
    ///
    /// # Errors
    /// Fails when no connection can be opened, and when the connection fails before the answer
    /// head.
    pub async fn dispatch(&self, request: BackendRequest) -> Result<HttpAnswer, DispatchError> {
        let message = http_request(&request).ok_or(DispatchError::NotConnected)?;
        let connection = self.open(&request.address).await;
        let mut connection = connection.ok_or(DispatchError::NotConnected)?;
        // From here on a byte may be sent at any time.
        request.sent.set();
        let response = connection.sender.send_request(message).await;
        let response = response.map_err(|error| {
            if error.is_parse_too_large() || connection.allowance.is_exceeded() {
                DispatchError::OverLimit
            } else {
                DispatchError::Lost
            }
        })?;
        connection.allowance.renew();
        Ok(HttpAnswer {
            head: answer_head(&response),
            body: response.into_body(),
            connection,
        })
    }

    /// Asks the backend to withdraw an attempt. Returns [`WithdrawAnswer::Unknown`] if it does not
    /// answer within the request's timeout or its answer is invalid.
    pub async fn withdraw(&self, request: WithdrawRequest) -> WithdrawAnswer {
        let exchange = self.exchange(&request.address, withdrawal(&request));
        let answered = tokio::time::timeout(request.timeout, exchange).await;
        let Ok(Some(body)) = answered else {
            return WithdrawAnswer::Unknown;
        };
        let Ok(body) = serde_json::from_slice::<WithdrawBody>(&body) else {
            return WithdrawAnswer::Unknown;
        };
        match body.state.as_str() {
            "withdrawn" => WithdrawAnswer::Withdrawn,
            "running" => WithdrawAnswer::Running,
            "finished" => WithdrawAnswer::Finished,
            _ => WithdrawAnswer::Unknown,
        }
    }

    /// Sends a health probe. Returns whether the backend answers with success within `timeout`.
    pub async fn probe(&self, address: &str, timeout: Duration) -> bool {
        let request = request_without_body("GET", address, HEALTH_PATH);
        let exchange = self.exchange(address, request);
        matches!(tokio::time::timeout(timeout, exchange).await, Ok(Some(_)))
    }

    /// Sends a request without a body and returns the body of the answer, or `None` if there is no
    /// answer or its status is not a success.
    async fn exchange(&self, address: &str, request: request::Builder) -> Option<Bytes> {
        let request = request.body(Full::<Bytes>::default()).ok()?;
        let mut connection = self.open(address).await?;
        let response = connection.sender.send_request(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_SMALL_ANSWER_BYTES);
        let body = body.collect().await.ok()?;
        Some(body.to_bytes())
    }

    /// Opens a connection. No byte is sent on it before a request is.
    async fn open(&self, address: &str) -> Option<ClientConnection> {
        let stream = self.connect(address).await?;
        open_http(stream, self.max_head_bytes).await.ok()
    }

    async fn connect(&self, address: &str) -> Option<TcpStream> {
        let address: SocketAddr = address.parse().ok()?;
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.connect_timeout, connecting).await;
        let stream = stream.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }
}

fn request_without_body(method: &str, address: &str, path: &str) -> request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address)
}

fn withdrawal(request: &WithdrawRequest) -> request::Builder {
    let path = format!("{ATTEMPTS_PATH}{}", request.attempt);
    let age = request.age(monotonic_now()).as_micros().div_ceil(1000);
    request_without_body("DELETE", &request.address, &path)
        .header(ATTEMPT_AGE_HEADER, age.to_string())
}

fn http_request(request: &BackendRequest) -> Option<Request<Full<Bytes>>> {
    let method = match request.method {
        BackendMethod::Get => "GET",
        BackendMethod::Post => "POST",
    };
    let millis = request.time_left.as_millis().to_string();
    let mut builder = Request::builder()
        .method(method)
        .uri(&request.path)
        .header(HOST, &request.address)
        .header(ATTEMPT_HEADER, &request.attempt)
        .header(RUN_HEADER, &request.run)
        .header(DEADLINE_HEADER, millis);
    if request.method == BackendMethod::Post {
        builder = builder.header(CONTENT_TYPE, "application/json");
    }
    if let Some(resume) = request.resume_from {
        builder = builder.header(RESUME_FROM_HEADER, resume.0);
    }
    let optional_headers = [
        (VERSION_HEADER, &request.version),
        (STAGE_HEADER, &request.stage),
        (ADAPTER_HEADER, &request.adapter),
    ];
    for (name, value) in optional_headers {
        if !value.is_empty() {
            builder = builder.header(name, value);
        }
    }
    builder.body(Full::new(request.body.clone())).ok()
}

fn answer_head(response: &Response<Incoming>) -> AnswerHead {
    let headers = response.headers();
    let seconds = number(headers, RETRY_AFTER.as_str());
    let millis = seconds.map(|seconds| seconds.saturating_mul(1000));
    AnswerHead {
        status: response.status().as_u16(),
        attempt: text(headers, ATTEMPT_HEADER),
        not_run: text(headers, RUN_STATE_HEADER).as_deref() == Some(RUN_STATE_NOT_RUN),
        resume_at: number(headers, RESUME_AT_HEADER),
        retry_after_ms: millis.map(|millis| u32::try_from(millis).unwrap_or(u32::MAX)),
        content_type: text(headers, CONTENT_TYPE.as_str()).unwrap_or_default(),
        framing: framing(headers),
    }
}

fn framing(headers: &HeaderMap) -> Framing {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Framing::Chunked;
    }
    match number(headers, CONTENT_LENGTH.as_str()) {
        Some(length) => Framing::Length(length),
        None => Framing::UntilClose,
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value: &HeaderValue = headers.get(name)?;
    Some(value.to_str().ok()?.to_owned())
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
