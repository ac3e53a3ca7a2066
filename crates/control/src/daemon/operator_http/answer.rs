//! HTTP responses to operators.

use millford_api::http_status::http_status;
use millford_api::operator::{ErrorBody, FaultBody};
use millford_core::{Duration, ResultCode};
use serde::Serialize;
use warp::http::header::{CONTENT_TYPE, RETRY_AFTER};
use warp::http::{Response, StatusCode};

use crate::operator::{OperatorFailure, OperatorReply};

/// An HTTP response with a text body.
pub(super) type Answer = Response<String>;

/// The response to a request that the gateway answered.
pub(super) fn of_reply(reply: &OperatorReply) -> Answer {
    match reply {
        OperatorReply::Order(body) => json(body),
        OperatorReply::Config(body) => json(body),
        OperatorReply::Plan(body) => json(body),
        OperatorReply::Status(body) => json(body),
        OperatorReply::Drain(body) => json(body),
        OperatorReply::Recovery(body) => json(body),
        OperatorReply::Failed(failure) => of_failure(failure),
    }
}

/// The response to a request that was refused or failed.
pub(super) fn of_failure(failure: &OperatorFailure) -> Answer {
    let mut body = ErrorBody::with_message(failure.code, failure.text());
    body.revision = failure.revision;
    body.error.retry_after_ms = failure.retry_after.map(to_millis);
    let faults = failure.faults.iter().map(|fault| FaultBody {
        path: fault.path.clone(),
        message: fault.text.clone(),
    });
    body.error.faults = faults.collect();
    let mut answer = json(&body);
    *answer.status_mut() = status_of(failure.code);
    if let Some(delay) = failure.retry_after {
        let seconds = delay.as_secs().max(1);
        answer.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    answer
}

/// A response with this content type and body.
pub(super) fn text(content_type: &'static str, body: String) -> Answer {
    let mut answer = Response::new(body);
    let value = warp::http::HeaderValue::from_static(content_type);
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}

/// The response for an unknown path.
pub(super) fn path_unknown() -> Answer {
    of_failure(&OperatorFailure::new(ResultCode::PathUnknown))
}

fn json(body: &impl Serialize) -> Answer {
    let Ok(body) = serde_json::to_string(body) else {
        // Serialization fails only for an enum number that a newer release has written.
        let mut answer = text("text/plain", String::new());
        *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return answer;
    };
    text("application/json", body)
}

fn status_of(code: ResultCode) -> StatusCode {
    // `http_status` returns only valid statuses, so the fallback is never used.
    StatusCode::from_u16(http_status(code)).unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
}

fn to_millis(delay: Duration) -> u64 {
    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
}
