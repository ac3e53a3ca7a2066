//! Why one attempt gave no answer.

use millford_core::ResultCode;

/// What is known about the run of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFate {
    /// No byte left.
    NotSent,
    /// The backend refused before work, by protocol.
    RefusedBeforeWork,
    /// Nobody knows, unless a withdrawal is confirmed.
    Unknown,
    /// The backend ran it and reported a failure.
    Failed,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Numbered code.
    pub code: ResultCode,
    /// What is known about the run.
    pub fate: RunFate,
    /// Whether another backend may do better.
    pub elsewhere: bool,
    /// When the backend wants to be sent the request again, in milliseconds.
    pub retry_after_ms: Option<u32>,
}

impl AttemptFailure {
    /// A failure after which nobody knows whether the request ran.
    #[must_use]
    pub fn unknown(code: ResultCode) -> Self {
        Self {
            code,
            fate: RunFate::Unknown,
            elsewhere: true,
            retry_after_ms: None,
        }
    }

    /// No connection: no byte left.
    #[must_use]
    pub fn not_sent() -> Self {
        Self {
            fate: RunFate::NotSent,
            ..Self::unknown(ResultCode::ConnectFailed)
        }
    }

    /// The backend refused before work.
    #[must_use]
    pub fn refused(retry_after_ms: Option<u32>) -> Self {
        Self {
            fate: RunFate::RefusedBeforeWork,
            retry_after_ms,
            ..Self::unknown(ResultCode::BackendRefused)
        }
    }

    /// The backend reported an error of its own.
    #[must_use]
    pub fn backend_fault() -> Self {
        Self {
            fate: RunFate::Failed,
            ..Self::unknown(ResultCode::BackendError)
        }
    }

    /// The backend found a fault in the request, which would repeat itself elsewhere.
    #[must_use]
    pub fn request_fault() -> Self {
        Self {
            elsewhere: false,
            ..Self::backend_fault()
        }
    }
}
