//! Record of one attempt of a request.

use serde::{Deserialize, Serialize};

/// Result of an attempt, as observed by the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// Still in progress when the record was written.
    #[default]
    Open,
    /// The backend began a response that may be forwarded to the caller.
    Answered,
    /// No byte was sent to the backend.
    NotSent,
    /// The backend refused the request before it started to process it.
    Refused,
    /// The connection failed, or the response was lost.
    Lost,
    /// The deadline of the request passed.
    TimedOut,
}

/// An attempt: the chosen backend, the estimates for it at that time, and the outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Id of the backend.
    pub backend: String,
    /// Whether the backend is in the node's own zone.
    pub same_zone: bool,
    /// Time of the choice, in milliseconds after the arrival of the request.
    pub chosen_ms: u32,
    /// Number of backends that were compared.
    pub candidates: u32,
    /// Estimated processor time of the work in flight on the backend, in milliseconds.
    pub believed_work_ms: f64,
    /// Estimated cost of the request on the backend, in milliseconds, including all penalties that the
    /// choice adds.
    pub believed_cost_ms: f64,
    /// Estimated prompt tokens of this request that the backend has not cached.
    pub uncached_tokens: u64,
    /// Estimated uncached prompt tokens of other requests in flight on the backend.
    pub queued_tokens: u64,
    /// Estimated number of streams that the backend serves.
    pub streams: u32,
    /// Result of the attempt; [`AttemptOutcome::Open`] while it is in progress.
    pub outcome: AttemptOutcome,
}
