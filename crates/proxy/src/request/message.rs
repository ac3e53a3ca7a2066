//! Messages between the request path and its environment.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use millford_core::{Duration, MonotonicTime};

/// Set once a byte of a request may have left for a backend.
#[derive(Clone, Debug, Default)]
pub struct SentFlag(Arc<AtomicBool>);

impl SentFlag {
    /// From now on the request may have run.
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// Whether a byte may have left.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Method of a request to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendMethod {
    /// A lookup.
    Get,
    /// A completion.
    Post,
}

/// Continues a run at a sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumeFrom(pub u64);

/// One attempt at a request.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    /// Id of the backend, for connection records and logs.
    pub backend_id: String,
    /// IP address and port of the backend.
    pub address: String,
    /// Method.
    pub method: BackendMethod,
    /// Path and query.
    pub path: String,
    /// Attempt id that the answer must echo.
    pub attempt: String,
    /// Run that the attempt starts or continues.
    pub run: String,
    /// Version of the model, if known.
    pub version: String,
    /// Stage, if the request or the route names one.
    pub stage: String,
    /// Adapter, if the request or the route names one.
    pub adapter: String,
    /// Where to continue a run, if the attempt does not start one.
    pub resume_from: Option<ResumeFrom>,
    /// Time left for the complete answer.
    pub time_left: Duration,
    /// Body; empty for lookups.
    pub body: Bytes,
    /// Set before the first byte leaves.
    pub sent: SentFlag,
}

/// Why no answer head arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DispatchError {
    /// No connection was opened: no byte left.
    #[error("no connection to the backend was opened")]
    NotConnected,
    /// The connection broke or carried something that is not HTTP.
    #[error("the connection to the backend was lost before its answer")]
    Lost,
}

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// Not at all: it ends with the connection, so a truncation cannot be seen.
    UntilClose,
}

/// Head of a backend's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Attempt id that the backend echoed.
    pub attempt: Option<String>,
    /// Whether the backend says that the request did not run.
    pub not_run: bool,
    /// Sequence number at which the backend continues the run.
    pub resume_at: Option<u64>,
    /// When the backend wants to be sent the request again, in milliseconds.
    pub retry_after_ms: Option<u32>,
    /// Content type.
    pub content_type: String,
    /// How the end of the body is marked.
    pub framing: Framing,
}

/// Why a body ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// The connection ended before the body did.
    #[error("the connection to the backend ended before the body did")]
    Disconnected,
    /// The bytes break the protocol.
    #[error("the body breaks the protocol")]
    Malformed,
}

/// An attempt to be withdrawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WithdrawRequest {
    /// Id of the backend.
    pub backend_id: String,
    /// IP address and port of the backend.
    pub address: String,
    /// Attempt.
    pub attempt: String,
    /// When the attempt began: before its first byte could leave.
    pub started: MonotonicTime,
    /// Longest time to wait for the answer.
    pub timeout: Duration,
}

/// Share of an attempt's age that is added for clocks of different speed: 1 in this many parts.
const CLOCK_SPEED_SHARE: u32 = 1000;

impl WithdrawRequest {
    /// Upper bound of the attempt's age at any moment at which an answer is still taken, when the
    /// withdrawal is sent at `now`.
    ///
    /// Safety: a backend that has been up for at least this long when it reads the withdrawal was
    /// up when the attempt's first byte left. The age is counted when the withdrawal is sent and
    /// the backend's time when it is read, so the longest way between them is added: answers after
    /// `timeout` are not taken.
    #[must_use]
    pub fn age(&self, now: MonotonicTime) -> Duration {
        let age = now.since(self.started) + self.timeout;
        age + age / CLOCK_SPEED_SHARE
    }
}

/// What the backend says about a withdrawn attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawAnswer {
    /// It never ran and never will, even if it arrives later.
    Withdrawn,
    /// It is running.
    Running,
    /// It ran to its end.
    Finished,
    /// No answer in time, or the backend cannot know.
    Unknown,
}
