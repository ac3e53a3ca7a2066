//! Bodies of responses to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// Body of any response. An error ends the connection, so that a truncated body never looks complete.
pub type ResponseBody = UnsyncBoxBody<Bytes, TruncatedResponse>;

/// Why a response ends before it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TruncatedResponse {
    /// The backend was lost and no other may resume its stream.
    #[error("the backend was lost in the middle of its response")]
    BackendLost,
    /// The deadline of the request passed.
    #[error("the deadline of the request passed")]
    TimedOut,
    /// The events of the stream do not follow each other.
    #[error("the stream skipped or repeated an event")]
    OutOfOrder,
}
