//! One execution of a request on a backend.

use serde::{Deserialize, Serialize};

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// Every chunk was handed to the connection.
    Completed,
    /// The connection was closed first, or a fault truncated the response.
    Cancelled,
}

/// One execution of a request on a backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Backend that ran it.
    pub backend: String,
    /// Attempt that started it.
    pub attempt: String,
    /// Run that it starts or continues.
    pub run: String,
    /// Marker found in the prompt or path.
    pub marker: String,
    /// Model, or `lookup`.
    pub model: String,
    /// First sequence number sent; above 0 for a continued run.
    pub resume_from: u64,
    /// Machine clock at the start, in microseconds.
    pub started_micros: u64,
    /// Machine clock at the end, in microseconds; absent while running or after a crash.
    pub ended_micros: Option<u64>,
    /// How it ended.
    pub end: Option<ExecutionEnd>,
    /// Authorization or tenant headers seen; a backend must never see any.
    pub saw_credential: bool,
}
