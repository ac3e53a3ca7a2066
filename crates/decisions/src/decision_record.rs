//! Decision record of one request.

use serde::{Deserialize, Serialize};

use crate::attempt_record::AttemptRecord;

/// Result of a request, as observed by the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The complete response was forwarded to the caller.
    Complete,
    /// The backend's own response had an error status.
    BackendFailure,
    /// Refused because of the tenant's quota.
    OverQuota,
    /// Refused before any backend ran it.
    Refused,
    /// Failed after a backend may have run it.
    Failed,
    /// The deadline passed.
    TimedOut,
    /// The response was aborted after it had begun.
    BrokenOff,
    /// The caller disconnected.
    CallerLeft,
}

/// A request with its targets, its attempts and its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Time of arrival, in milliseconds of the node's monotonic clock.
    pub at_ms: u64,
    /// Name of the node.
    pub node: String,
    /// Zone of the node.
    pub zone: String,
    /// Name of the route.
    pub route: String,
    /// Name of the tenant; empty if there is none.
    pub tenant: String,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Largest length of the response, in tokens; 0 if the request sets none.
    pub output_tokens: u64,
    /// Target for the time to the first bytes of the body, in milliseconds; 0 if the route sets none.
    pub target_ms: u32,
    /// Target for the longest gap between parts of the body, in milliseconds; 0 if the route sets none.
    pub gap_target_ms: u32,
    /// Attempts in the order in which they were started.
    pub attempts: Vec<AttemptRecord>,
    /// Time at which the first bytes of the body were forwarded, in milliseconds after the arrival; `None`
    /// if there were none.
    pub first_bytes_ms: Option<u32>,
    /// Longest gap between forwarded parts of the body, in milliseconds.
    pub longest_gap_ms: u32,
    /// Whether the stream was resumed on another backend.
    pub resumed: bool,
    /// Time of the end, in milliseconds after the arrival.
    pub ended_ms: u32,
    /// Result of the request.
    pub ending: Ending,
}
