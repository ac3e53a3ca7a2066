//! The error response to a request that was not served.

use millford_api::http_status::http_status;
use millford_core::{ResultCode, RunState};
use serde::Serialize;

/// Retry delay suggested when capacity is short, in milliseconds.
pub const RETRY_AFTER_BUSY_MS: u32 = 500;

/// Retry delay suggested when backends or the control plane are unavailable, in milliseconds.
pub const RETRY_AFTER_OUTAGE_MS: u32 = 1_000;

/// Reason why a request was not served, whether it may have run, and when to retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code that states the reason.
    pub code: ResultCode,
    /// Whether a backend may have run the request.
    pub run: RunState,
    /// Time after which the caller should retry, in milliseconds; absent if no retry is suggested.
    pub retry_after_ms: Option<u32>,
    /// Sentence that follows the code's own text in the message, if there is one.
    pub detail: Option<String>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run, with the code's default retry delay.
    #[must_use]
    pub fn not_run(code: ResultCode) -> Self {
        Self {
            code,
            run: RunState::NotRun,
            retry_after_ms: default_retry_after(code),
            detail: None,
        }
    }

    /// Creates the refusal of a request that may have run, with the code's default retry delay.
    #[must_use]
    pub fn may_have_run(code: ResultCode) -> Self {
        Self {
            run: RunState::MayHaveRun,
            ..Self::not_run(code)
        }
    }

    /// Sets the sentence that follows the code's own text.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Sets the time after which the caller should retry, in milliseconds.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after_ms: u32) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the HTTP status for the code.
    #[must_use]
    pub fn status(&self) -> u16 {
        http_status(self.code)
    }

    /// Returns the JSON body of the error response.
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
