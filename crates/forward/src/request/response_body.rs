//! The type of response bodies sent to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// Body of any response. An error closes the caller's connection before the body is complete by its framing, so
/// that the caller does not mistake a truncated body for a complete one.
pub type ResponseBody = UnsyncBoxBody<Bytes, TruncatedResponse>;

/// Why a response ends before it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TruncatedResponse {
    /// The backend was lost, and no other backend could or may continue its response.
    #[error("the backend was lost in the middle of its response")]
    BackendLost,
    /// The deadline of the request passed.
    #[error("the deadline of the request passed")]
    TimedOut,
    /// The backend sent more than its limits allow, and no other backend could or may continue its response.
    #[error("the backend sent more than its limits allow")]
    OverLimit,
    /// The event ids of a resumed stream are not consecutive.
    #[error("the resumed stream skipped an event")]
    OutOfOrder,
}
