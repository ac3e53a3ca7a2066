//! The record of one request.

use serde::{Deserialize, Serialize};

use crate::attempt_record::AttemptRecord;

/// How a request ended at the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The whole answer went to the caller.
    Complete,
    /// The backend answered with a failure of its own.
    BackendFailure,
    /// Refused for the tenant's quota.
    OverQuota,
    /// Refused before a backend ran it.
    Refused,
    /// Given up after a backend may have run it.
    Failed,
    /// The time of the request was over.
    TimedOut,
    /// The answer was broken off.
    BrokenOff,
    /// The caller left.
    CallerLeft,
}

/// One request: what it asked for, every attempt, what came.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// When it arrived, in milliseconds of the node's steady clock.
    pub at_ms: u64,
    /// The node.
    pub node: String,
    /// The node's zone.
    pub zone: String,
    /// The route.
    pub route: String,
    /// The tenant; empty without one.
    pub tenant: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// Time within which the first event is in time, in milliseconds; 0 without one.
    pub target_ms: u32,
    /// Longest pause between events that is in time, in milliseconds; 0 without one.
    pub gap_target_ms: u32,
    /// Attempts in order.
    pub attempts: Vec<AttemptRecord>,
    /// When the first bytes of the body went on, in milliseconds after the arrival.
    pub first_bytes_ms: Option<u32>,
    /// Longest pause after that, in milliseconds.
    pub longest_gap_ms: u32,
    /// Whether another backend went on with the stream.
    pub resumed: bool,
    /// When it ended, in milliseconds after the arrival.
    pub ended_ms: u32,
    /// How it ended.
    pub ending: Ending,
}
