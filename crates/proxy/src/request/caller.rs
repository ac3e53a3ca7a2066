//! The caller's request and the way back to the caller.

use std::future::Future;

use bytes::Bytes;
use millford_core::MonotonicTime;

/// Headers of a caller's request that the request path reads. Values that are not text are
/// refused before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// `authorization`.
    pub authorization: Option<String>,
    /// `content-type`.
    pub content_type: Option<String>,
    /// `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// `x-millford-session`.
    pub session: Option<String>,
    /// `x-millford-deadline-ms`.
    pub deadline_ms: Option<String>,
    /// `x-millford-stage`.
    pub stage: Option<String>,
    /// `x-millford-adapter`.
    pub adapter: Option<String>,
}

/// A complete request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Path with the query, as it was sent.
    pub path_and_query: String,
    /// Headers.
    pub headers: CallerHeaders,
    /// Body.
    pub body: Bytes,
    /// When the head arrived.
    pub arrived: MonotonicTime,
}

impl CallerRequest {
    /// The path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        let path_and_query = self.path_and_query.as_str();
        path_and_query.split('?').next().unwrap_or(path_and_query)
    }
}

/// Head of the answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHead {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Length of the body; absent for streams.
    pub content_length: Option<usize>,
    /// Id of this request, for support.
    pub request_id: String,
    /// Configuration revision that decided the request.
    pub revision: u64,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u32>,
}

/// The caller is not there any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller disconnected")]
pub struct CallerDisconnected;

/// Resolves when the caller disconnects.
pub trait CallerPresence: Clone + Send + Sync {
    /// Resolves once the caller has disconnected.
    fn disconnected(&self) -> impl Future<Output = ()> + Send;
}

/// The way back to the caller.
///
/// A sink that is dropped after [`CallerSink::begin`] and before [`CallerSink::finish`] breaks the
/// caller's connection, so that a truncated body never looks complete.
pub trait CallerSink: Send {
    /// Handle to wait for the caller's disconnect.
    type Presence: CallerPresence;

    /// The presence of this caller.
    fn presence(&self) -> Self::Presence;

    /// Sends the head.
    fn begin(
        &mut self,
        head: CallerHead,
    ) -> impl Future<Output = Result<(), CallerDisconnected>> + Send;

    /// Sends a part of the body; waits while the caller reads slowly.
    fn send(&mut self, bytes: Bytes)
    -> impl Future<Output = Result<(), CallerDisconnected>> + Send;

    /// Ends the body as complete.
    fn finish(&mut self);
}
