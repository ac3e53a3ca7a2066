//! Messages that the request path exchanges with the local agent.

use millford_api::command::RunOutcome;
use millford_core::{Duration, ResultCode};

/// Asks for the admission of one request under the tenant's quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Name of the tenant.
    pub tenant: String,
    /// Whether the request needs a stream slot in addition to a token.
    pub stream: bool,
    /// Longest time to wait for the reply. The agent waits as long for the tenant's shard.
    pub timeout: Duration,
}

/// The agent's reply to an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionReply {
    /// The request is admitted.
    Granted,
    /// The request is not admitted.
    Refused {
        /// Reason for the refusal.
        code: ResultCode,
        /// Time after which the caller may retry, in milliseconds; 0 if unknown.
        retry_after_ms: u32,
    },
}

/// Reports the end of an admitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRelease {
    /// Name of the tenant.
    pub tenant: String,
    /// Whether the request held a stream slot, which is released.
    pub stream: bool,
    /// Whether the request was never sent to a backend, so that its token is returned.
    pub unused: bool,
}

/// The control plane's reply to the claim of a request that must run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// This request may run.
    Granted,
    /// Another request with the same idempotency key already has the claim, with this outcome.
    Taken(RunOutcome),
    /// The idempotency key was used by a request with a different body.
    KeyReused,
    /// The claim was not confirmed in time.
    Unavailable,
}
