//! The caller's request, and the interface for answering the caller.

use std::future::Future;

use bytes::Bytes;
use millford_core::MonotonicTime;

/// Headers of a caller's request that the request path reads; `None` for a header that the caller
/// did not send. Requests with values that are not text were refused earlier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// `authorization`: scheme and tenant key.
    pub authorization: Option<String>,
    /// `content-type`, with its parameters.
    pub content_type: Option<String>,
    /// `idempotency-key`: key of the claim on a route that is not repeatable.
    pub idempotency_key: Option<String>,
    /// `x-millford-session`: name of a session whose requests prefer one backend.
    pub session: Option<String>,
    /// `x-millford-deadline-ms`: the caller's own deadline, not parsed yet.
    pub deadline_ms: Option<String>,
    /// `x-millford-stage`: stage that should serve the request.
    pub stage: Option<String>,
    /// `x-millford-adapter`: adapter to apply to the model.
    pub adapter: Option<String>,
}

/// A caller's request, read completely.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Path and query as the caller sent them.
    pub path_and_query: String,
    /// Headers that the request path reads.
    pub headers: CallerHeaders,
    /// Complete body; empty for lookups.
    pub body: Bytes,
    /// When the request head arrived; deadlines count from here.
    pub arrived: MonotonicTime,
}

impl CallerRequest {
    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        let path_and_query = self.path_and_query.as_str();
        path_and_query.split('?').next().unwrap_or(path_and_query)
    }
}

/// Head of the response to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHead {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Length of the body in bytes; absent for streams.
    pub content_length: Option<usize>,
    /// Id of this request, for finding it in the logs.
    pub request_id: String,
    /// Configuration revision that the request was routed by; 0 if there is none.
    pub revision: u64,
    /// Time after which the caller should retry, in milliseconds; absent if no retry is suggested.
    pub retry_after_ms: Option<u32>,
}

/// The caller closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller disconnected")]
pub struct CallerDisconnected;

/// Handle for detecting that the caller disconnects.
pub trait CallerPresence: Clone + Send + Sync {
    /// Resolves once the caller has disconnected.
    fn disconnected(&self) -> impl Future<Output = ()> + Send;
}

/// Writes the response to the caller.
///
/// Dropping a sink after [`CallerSink::begin`] and before [`CallerSink::finish`] breaks the
/// caller's connection, so that a truncated body cannot be taken for a complete one.
pub trait CallerSink: Send {
    /// Handle for detecting the caller's disconnect.
    type Presence: CallerPresence;

    /// Returns a handle that detects this caller's disconnect.
    fn presence(&self) -> Self::Presence;

    /// Sends the response head; called once.
    fn begin(
        &mut self,
        head: CallerHead,
    ) -> impl Future<Output = Result<(), CallerDisconnected>> + Send;

    /// Sends a part of the body; waits while the caller reads slowly.
    fn send(&mut self, bytes: Bytes)
    -> impl Future<Output = Result<(), CallerDisconnected>> + Send;

    /// Marks the body as complete and ends it.
    fn finish(&mut self);
}
