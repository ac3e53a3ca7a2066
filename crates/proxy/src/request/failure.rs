//! Reasons why an attempt failed before a usable answer.

use millford_core::ResultCode;

/// Whether the request of a failed attempt ran, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte was sent, so it did not run.
    NotSent,
    /// The backend refused before any work, as the protocol's header confirms.
    RefusedBeforeWork,
    /// It may have run, unless the backend confirms a withdrawal.
    Unknown,
    /// The backend ran the request and reported a failure.
    Failed,
}

/// Failure of an attempt, with the facts that decide whether the request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Result code for the caller.
    pub code: ResultCode,
    /// Whether the request ran, as far as it is known.
    pub outcome: AttemptOutcome,
    /// Whether another backend may be tried.
    pub retryable: bool,
    /// Time after which the backend asks for a retry, in milliseconds; absent if it sent none.
    pub retry_after_ms: Option<u32>,
}

impl AttemptFailure {
    /// Creates a retryable failure that leaves it unknown whether the request ran.
    #[must_use]
    pub fn unknown(code: ResultCode) -> Self {
        Self {
            code,
            outcome: AttemptOutcome::Unknown,
            retryable: true,
            retry_after_ms: None,
        }
    }

    /// Creates the failure of an attempt for which no connection was opened, so that no byte was
    /// sent.
    #[must_use]
    pub fn not_sent() -> Self {
        Self {
            outcome: AttemptOutcome::NotSent,
            ..Self::unknown(ResultCode::ConnectFailed)
        }
    }

    /// Creates the failure of an attempt that the backend refused before any work on it.
    ///
    /// `retry_after_ms` is the delay that the backend asks for; absent if it sent none.
    #[must_use]
    pub fn refused(retry_after_ms: Option<u32>) -> Self {
        Self {
            outcome: AttemptOutcome::RefusedBeforeWork,
            retry_after_ms,
            ..Self::unknown(ResultCode::BackendRefused)
        }
    }

    /// Creates the failure of an attempt for which the backend reported an error on its side.
    #[must_use]
    pub fn backend_fault() -> Self {
        Self {
            outcome: AttemptOutcome::Failed,
            ..Self::unknown(ResultCode::BackendError)
        }
    }

    /// Creates the failure of a request that the backend rejected as invalid. It is not retryable,
    /// since another backend would reject it too.
    #[must_use]
    pub fn request_fault() -> Self {
        Self {
            retryable: false,
            ..Self::backend_fault()
        }
    }
}
