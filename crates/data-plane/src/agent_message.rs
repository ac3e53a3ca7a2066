//! Messages between the request path and the agent.

use millford_api::command::RunOutcome;
use millford_core::{Duration, ResultCode};

/// Requests the admission of one request of a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Tenant.
    pub tenant: String,
    /// Whether a stream slot is needed too.
    pub stream: bool,
    /// Longest time to wait for the decision; the agent waits that long for the tenant's shard.
    pub timeout: Duration,
}

/// The agent's decision about an admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionReply {
    /// The request is admitted.
    Granted,
    /// The request is not admitted.
    Refused {
        /// The reason, as a numbered code.
        code: ResultCode,
        /// When to come back, in milliseconds; 0 if unknown.
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

/// The control plane's decision about a claim of a single run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The single run is this request's.
    Granted,
    /// Another request with the same key had it.
    Taken(RunOutcome),
    /// The key belongs to a request with another body.
    KeyReused,
    /// Not confirmed in time.
    Unavailable,
}
