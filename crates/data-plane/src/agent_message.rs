//! What the requests ask of the agent, and its answers.

use millford_api::command::RunOutcome;
use millford_core::{Duration, ResultCode};

/// One request of a tenant wants to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Tenant.
    pub tenant: String,
    /// Whether a stream slot is needed too.
    pub stream: bool,
    /// Longest time to wait for the decision.
    pub timeout: Duration,
}

/// The agent's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionReply {
    /// The request may go.
    Granted,
    /// The request may not go.
    Refused {
        /// Why.
        code: ResultCode,
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
    },
}

/// An admitted request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRelease {
    /// Tenant.
    pub tenant: String,
    /// Whether a stream slot is free again.
    pub stream: bool,
    /// Whether the request was never sent, so that its token is given back.
    pub unused: bool,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The single run is this request's.
    Granted,
    /// Another request with the same key had it.
    Taken(RunOutcome),
    /// The key belongs to a request with another body.
    KeyReused,
    /// Not recorded in time.
    Unavailable,
}
