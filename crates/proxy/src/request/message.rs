//! Messages between the request path and its environment.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use millford_core::{Duration, MonotonicTime};

/// Flag that is set once a byte of a request may have been sent to a backend.
#[derive(Clone, Debug, Default)]
pub struct SentFlag(Arc<AtomicBool>);

impl SentFlag {
    /// Sets the flag: from now on the request may have run.
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// Returns whether a byte may have been sent.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// HTTP method of a request to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendMethod {
    /// Used for lookups.
    Get,
    /// Used for completions.
    Post,
}

/// Sequence number of the chunk at which a run should be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumeFrom(pub u64);

/// The request that one attempt sends to a backend.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    /// Id of the backend, for connection records and logs; it is not sent.
    pub backend_id: String,
    /// IP address and port of the backend.
    pub address: String,
    /// HTTP method.
    pub method: BackendMethod,
    /// Path and query, as sent to the backend.
    pub path: String,
    /// Id of the attempt, which the answer must echo.
    pub attempt: String,
    /// Id of the run that the attempt starts or continues.
    pub run: String,
    /// Version of the model on the chosen replica; empty if unknown.
    pub version: String,
    /// Stage that the request or the route names; empty if none.
    pub stage: String,
    /// Adapter that the request or the route names; empty if none.
    pub adapter: String,
    /// Where to continue the run; absent if the attempt starts a new run.
    pub resume_from: Option<ResumeFrom>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Body; empty for lookups.
    pub body: Bytes,
    /// Must be set before the first byte is sent.
    pub sent: SentFlag,
}

/// Reason why no answer head arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DispatchError {
    /// No connection was opened, so no byte was sent.
    #[error("no connection to the backend was opened")]
    NotConnected,
    /// The connection failed before the answer head, or the bytes received were not valid HTTP.
    #[error("the connection to the backend failed before the answer head")]
    Lost,
    /// The backend sent more than the limit of a head, interim answers included.
    #[error("the head of the backend's answer is over its limit")]
    OverLimit,
}

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By the last chunk of the chunked transfer coding.
    Chunked,
    /// By the end of the connection, so a truncation cannot be detected.
    UntilClose,
}

/// Head of an answer from a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status code.
    pub status: u16,
    /// Attempt id that the backend echoed; absent if it sent none.
    pub attempt: Option<String>,
    /// Whether the backend states that the request did not run.
    pub not_run: bool,
    /// Sequence number at which the backend confirms that it continues the run.
    pub resume_at: Option<u64>,
    /// Time after which the backend asks for a retry, in milliseconds; absent if it sent none.
    pub retry_after_ms: Option<u32>,
    /// Content type of the body; empty if the backend sent none.
    pub content_type: String,
    /// How the body is delimited.
    pub framing: Framing,
}

/// Reason why reading a body failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// The connection closed before the end of the body.
    #[error("the connection to the backend closed before the end of the body")]
    Disconnected,
    /// The bytes are not a valid HTTP body.
    #[error("the body from the backend is not valid HTTP")]
    Malformed,
    /// Chunk sizes, chunk extensions or trailers are too long.
    #[error("the framing of the body from the backend is over its limit")]
    OverLimit,
}

/// Request to a backend to withdraw an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WithdrawRequest {
    /// Id of the backend.
    pub backend_id: String,
    /// IP address and port of the backend.
    pub address: String,
    /// Id of the attempt to withdraw.
    pub attempt: String,
    /// When the attempt was prepared, before its first byte could be sent.
    pub started: MonotonicTime,
    /// Longest time to wait for the backend's answer.
    pub timeout: Duration,
}

/// Divisor for the margin added to an attempt's age for clock drift between proxy and backend:
/// 1/1000 of the age.
const CLOCK_DRIFT_DIVISOR: u32 = 1000;

impl WithdrawRequest {
    /// Returns an upper bound on the attempt's age at any time at which the backend's answer is
    /// still accepted, for a withdrawal that is sent at `now`.
    ///
    /// Safety: a backend whose uptime is at least this long when it reads the withdrawal was
    /// already up when the attempt's first byte was sent. The age is computed when the withdrawal
    /// is sent, but the uptime is read when the withdrawal arrives. The longest delay between the
    /// two is therefore added; it is `timeout`, since later answers are not accepted.
    #[must_use]
    pub fn age(&self, now: MonotonicTime) -> Duration {
        let age = now.since(self.started) + self.timeout;
        age + age / CLOCK_DRIFT_DIVISOR
    }
}

/// State of an attempt as the backend reports it in answer to a withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawAnswer {
    /// The request did not run and will not run, even if it arrives later.
    Withdrawn,
    /// The request is running.
    Running,
    /// The request ran to its end.
    Finished,
    /// The backend sent no valid answer in time, or it cannot tell, since it may have restarted
    /// after it received the attempt.
    Unknown,
}
