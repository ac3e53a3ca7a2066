//! Responses that the proxy itself generates for requests that were not served.

use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use millford_api::http_status::http_status;
use millford_core::{Duration, ResultCode};

use crate::protocol::ForwardProtocol;
use crate::request::response_body::ResponseBody;

/// A refusal to serve a request, which the caller receives as a response.
///
/// A code whose HTTP status is 429 or 503 guarantees that the request did not run and never will. Codes for
/// requests that may have run have status 502 or 504.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Determines the HTTP status and is written into the body.
    pub code: ResultCode,
    /// Delay for the `Retry-After` header; `None` omits the header.
    pub retry_after: Option<Duration>,
    /// Whether to close the caller's connection after the response, for example because the request was not
    /// read completely.
    pub close: bool,
}

impl Refusal {
    /// Creates a refusal without `Retry-After` that keeps the connection open.
    #[must_use]
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
            close: false,
        }
    }

    /// Sets the delay after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Closes the caller's connection after the response.
    #[must_use]
    pub fn closing(mut self) -> Self {
        self.close = true;
        self
    }

    /// Builds the HTTP response.
    #[must_use]
    pub fn response<P: ForwardProtocol>(&self, protocol: &P) -> Response<ResponseBody> {
        let text = format!("{}\n", self.code);
        let body = Full::from(text).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        // `http_status` returns only valid statuses; the fallback is never used.
        *response.status_mut() =
            StatusCode::from_u16(http_status(self.code)).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, protocol.retry_after(delay));
        }
        if self.close {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
