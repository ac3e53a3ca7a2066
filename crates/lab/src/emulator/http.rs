//! Builds responses and reads headers of the emulator.

use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use serde::Serialize;
use serde_json::json;

use crate::protocol::{ATTEMPT_HEADER, NOT_RUN, RUN_STATE_HEADER};

/// Body type of all responses of the emulator.
pub type EmulatorBody = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a body with all bytes in one frame.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> EmulatorBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Returns a response with a JSON body.
#[must_use]
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<EmulatorBody> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns a refusal with the run state "not run", which states that no work was done.
#[must_use]
pub fn refusal(status: StatusCode, attempt: &str, text: &str) -> Response<EmulatorBody> {
    let mut response = json_response(status, &json!({"error": {"message": text}}));
    let headers = response.headers_mut();
    headers.insert(RUN_STATE_HEADER, header::HeaderValue::from_static(NOT_RUN));
    set_attempt(headers, attempt);
    response
}

/// Sets the header that echoes the attempt id; ids that are no valid header value are left out.
pub fn set_attempt(headers: &mut HeaderMap, attempt: &str) {
    if let Ok(value) = header::HeaderValue::from_str(attempt) {
        headers.insert(ATTEMPT_HEADER, value);
    }
}

/// Returns the value of a header; empty if it is absent or not text.
#[must_use]
pub fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
