//! Record of one execution of a request on a backend.

use serde::{Deserialize, Serialize};

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// Every chunk was passed to the connection.
    Completed,
    /// The connection was closed before the last chunk, or a fault truncated the response.
    Cancelled,
}

/// Record of one execution of a request on a backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Id of the backend.
    pub backend: String,
    /// Id of the attempt that started the execution.
    pub attempt: String,
    /// Id of the run that the execution starts or resumes.
    pub run: String,
    /// Marker of the request, from the prompt or the query; empty if there was none.
    pub marker: String,
    /// Name of the model, or `lookup`.
    pub model: String,
    /// Sequence number of the first chunk sent; above 0 for a resumed run.
    pub resume_from: u64,
    /// Machine clock at the start, in microseconds.
    pub started_micros: u64,
    /// Machine clock at the end, in microseconds; absent while running or after a crash.
    pub ended_micros: Option<u64>,
    /// How the execution ended; absent while running or after a crash.
    pub end: Option<ExecutionEnd>,
    /// Whether the request had an authorization header, which must not be forwarded to backends.
    pub saw_credential: bool,
}
