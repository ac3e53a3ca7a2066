//! Builds the HTTP responses for callers.

use http::{Response, StatusCode};
use millford_core::ResultCode;
use warp::reply::Reply as _;

use crate::daemon::caller_channel::CallerChannel;
use crate::request::caller::CallerHead;
use crate::request::refusal::Refusal;

/// Header with the request id, for finding the request in the logs.
pub const REQUEST_ID_HEADER: &str = "x-millford-request-id";
/// Header with the configuration revision that the request was routed by.
pub const REVISION_HEADER: &str = "x-millford-revision";

/// Revision of a routing table that holds no configuration.
const NO_REVISION: u64 = 0;

/// A response in the type that warp sends.
pub type HttpResponse = warp::reply::Response;

/// Builds the response that the request path writes to the channel. Waits for its head.
pub async fn channel_response(channel: CallerChannel) -> HttpResponse {
    let Ok(head) = channel.head.await else {
        let refusal = Refusal::may_have_run(ResultCode::BackendError);
        return refusal_response(&refusal);
    };
    let mut response = warp::reply::stream(channel.body).into_response();
    apply_head(&mut response, &head);
    response
}

fn apply_head(response: &mut HttpResponse, head: &CallerHead) {
    let status = StatusCode::from_u16(head.status);
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set_header(response, "content-type", &head.content_type);
    set_header(response, REQUEST_ID_HEADER, &head.request_id);
    set_revision(response, head.revision);
    if let Some(length) = head.content_length {
        set_header(response, "content-length", &length.to_string());
    } else {
        set_header(response, "cache-control", "no-cache");
    }
    if let Some(millis) = head.retry_after_ms {
        // The header is in whole seconds, rounded up; the body has the milliseconds.
        set_header(response, "retry-after", &millis.div_ceil(1000).to_string());
    }
}

/// Sets a header. A value that is not valid in a header is ignored.
pub fn set_header(response: &mut HttpResponse, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

/// Sets the revision header. It is left out while the node has no configuration.
pub fn set_revision(response: &mut HttpResponse, revision: u64) {
    if revision != NO_REVISION {
        set_header(response, REVISION_HEADER, &revision.to_string());
    }
}

/// Builds the response to a refused request, with the JSON body.
pub fn refusal_response(refusal: &Refusal) -> HttpResponse {
    let status = StatusCode::from_u16(refusal.status());
    let mut response = text_response(status.unwrap_or(StatusCode::BAD_REQUEST), refusal.body());
    set_header(&mut response, "content-type", "application/json");
    if let Some(millis) = refusal.retry_after_ms {
        set_header(
            &mut response,
            "retry-after",
            &millis.div_ceil(1000).to_string(),
        );
    }
    response
}

/// Builds a response with a text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> HttpResponse {
    let mut response = Response::new(text.into().into());
    *response.status_mut() = status;
    response
}
