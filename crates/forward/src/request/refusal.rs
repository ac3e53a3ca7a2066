//! The proxy's own responses to requests that were not served.

use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use millford_api::http_status::http_status;
use millford_core::{Duration, ResultCode};

use crate::protocol::ForwardProtocol;
use crate::request::response_body::ResponseBody;

/// Why a request was not served.
///
/// A code whose status is 429 or 503 guarantees that the request did not run and never will; the
/// codes for an unknown outcome have 502 and 504.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered code.
    pub code: ResultCode,
    /// When the caller should come back.
    pub retry_after: Option<Duration>,
    /// The request was not read completely: its connection cannot be used again.
    pub close: bool,
}

impl Refusal {
    /// A refusal with nothing but its code.
    #[must_use]
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
            close: false,
        }
    }

    /// With the time to come back.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// With the end of the connection.
    #[must_use]
    pub fn closing(mut self) -> Self {
        self.close = true;
        self
    }

    /// The refusal as HTTP.
    #[must_use]
    pub fn response<P: ForwardProtocol>(&self, protocol: &P) -> Response<ResponseBody> {
        let text = format!("{}\n", self.code);
        let body = Full::from(text).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        // Every status of the table is a valid one; the fallback is for the type only.
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
