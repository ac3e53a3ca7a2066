//! The answer to a request that was not served.

use millford_api::http_status::http_status;
use millford_core::{ResultCode, RunState};
use serde::Serialize;

/// When to come back after a lack of capacity, in milliseconds.
pub const RETRY_AFTER_BUSY_MS: u32 = 500;

/// When to come back after a lack of backends or of the control plane, in milliseconds.
pub const RETRY_AFTER_OUTAGE_MS: u32 = 1_000;

/// Why a request was not served, whether it may have run, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Numbered code.
    pub code: ResultCode,
    /// Whether a backend may have run it.
    pub run: RunState,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u32>,
    /// Detail beside the code's own sentence.
    pub detail: Option<String>,
}

impl Refusal {
    /// A refusal before anything was sent.
    #[must_use]
    pub fn not_run(code: ResultCode) -> Self {
        Self {
            code,
            run: RunState::NotRun,
            retry_after_ms: default_retry_after(code),
            detail: None,
        }
    }

    /// A failure after something was sent.
    #[must_use]
    pub fn may_have_run(code: ResultCode) -> Self {
        Self {
            run: RunState::MayHaveRun,
            ..Self::not_run(code)
        }
    }

    /// Adds a detail to the code's sentence.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Sets when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after_ms: u32) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// HTTP status of the refusal.
    #[must_use]
    pub fn status(&self) -> u16 {
        http_status(self.code)
    }

    /// The JSON body.
    #[must_use]
    pub fn body(&self) -> String {
        let text = self.code.text();
        let message = match &self.detail {
            Some(detail) => format!("{text} {detail}"),
            None => text.to_owned(),
        };
        let body = ErrorBody {
            error: ErrorDetail {
                code: self.code.number(),
                name: self.code.name(),
                message,
                run: self.run,
                retry_after_ms: self.retry_after_ms,
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Serialize)]
struct ErrorDetail {
    code: u32,
    name: &'static str,
    message: String,
    run: RunState,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u32>,
}

fn default_retry_after(code: ResultCode) -> Option<u32> {
    use ResultCode as Code;
    match code {
        Code::QuotaExceeded | Code::StreamLimit | Code::Overloaded | Code::BackendRefused => {
            Some(RETRY_AFTER_BUSY_MS)
        }
        Code::QuotaUnavailable
        | Code::ProxyDraining
        | Code::NotReady
        | Code::NoBackend
        | Code::ConnectFailed
        | Code::ClaimUnavailable
        | Code::RetryBudgetExhausted
        | Code::BackendLost
        | Code::BackendSilent
        | Code::DeadlineBeforeSend => Some(RETRY_AFTER_OUTAGE_MS),
        _ => None,
    }
}
