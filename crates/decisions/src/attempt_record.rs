//! One attempt at a request.

use serde::{Deserialize, Serialize};

/// What came of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// Still under way when the record was written.
    #[default]
    Open,
    /// An answer that may go to the caller began.
    Answered,
    /// Nothing left for the backend.
    NotSent,
    /// The backend refused the request before work.
    Refused,
    /// The connection or the answer was lost.
    Lost,
    /// The request's time was over.
    TimedOut,
}

/// Why a backend was chosen and what was believed of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The backend.
    pub backend: String,
    /// Whether it is in the node's own zone.
    pub same_zone: bool,
    /// When it was chosen, in milliseconds after the request arrived.
    pub chosen_ms: u32,
    /// Candidates that were looked at.
    pub candidates: u32,
    /// Estimated processor time of the work in flight there, in milliseconds.
    pub believed_work_ms: f64,
    /// Estimated cost of the request there, in milliseconds, with all that the choice adds.
    pub believed_cost_ms: f64,
    /// Prompt tokens that the backend was expected to read for this request.
    pub uncached_tokens: u64,
    /// Prompt tokens of other requests that it still had to read.
    pub queued_tokens: u64,
    /// Streams that it was believed to serve.
    pub streams: u32,
    /// What came.
    pub outcome: AttemptOutcome,
}
