//! Bodies of answers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// Body of any answer. An error ends the connection, so that a body that breaks off never looks
/// whole.
pub type ResponseBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// The answer ends before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BrokenOff {
    /// The backend was lost and no other may go on.
    #[error("the backend was lost in the middle of its answer")]
    BackendLost,
    /// The time of the route is over.
    #[error("the time of the route is over")]
    TimedOut,
    /// The events of the stream do not follow each other.
    #[error("the stream skipped or repeated an event")]
    OutOfOrder,
}
