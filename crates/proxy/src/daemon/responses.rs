//! HTTP answers of the callers' interface.

use http::{Response, StatusCode};
use millford_core::ResultCode;
use warp::reply::Reply as _;

use crate::daemon::caller_channel::CallerChannel;
use crate::request::caller::CallerHead;
use crate::request::refusal::Refusal;

/// Header that names the request, for support.
pub const REQUEST_ID_HEADER: &str = "x-millford-request-id";
/// Header that names the configuration revision that decided the request.
pub const REVISION_HEADER: &str = "x-millford-revision";

/// Revision of a table that shows no configuration.
const NO_REVISION: u64 = 0;

/// An answer as warp sends it.
pub type HttpResponse = warp::reply::Response;

/// The answer that the request path writes into the channel.
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
    set(response, "content-type", &head.content_type);
    set(response, REQUEST_ID_HEADER, &head.request_id);
    set_revision(response, head.revision);
    if let Some(length) = head.content_length {
        set(response, "content-length", &length.to_string());
    } else {
        set(response, "cache-control", "no-cache");
    }
    if let Some(millis) = head.retry_after_ms {
        // The header counts whole seconds; the body has the milliseconds.
        set(response, "retry-after", &millis.div_ceil(1000).to_string());
    }
}

/// Sets a header.
pub fn set(response: &mut HttpResponse, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

/// Names the revision that decided; a node that shows none yet names none.
pub fn set_revision(response: &mut HttpResponse, revision: u64) {
    if revision != NO_REVISION {
        set(response, REVISION_HEADER, &revision.to_string());
    }
}

/// A refusal with its JSON body.
pub fn refusal_response(refusal: &Refusal) -> HttpResponse {
    let status = StatusCode::from_u16(refusal.status());
    let mut response = text_response(status.unwrap_or(StatusCode::BAD_REQUEST), refusal.body());
    set(&mut response, "content-type", "application/json");
    if let Some(millis) = refusal.retry_after_ms {
        set(
            &mut response,
            "retry-after",
            &millis.div_ceil(1000).to_string(),
        );
    }
    response
}

/// A short text.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> HttpResponse {
    let mut response = Response::new(text.into().into());
    *response.status_mut() = status;
    response
}
