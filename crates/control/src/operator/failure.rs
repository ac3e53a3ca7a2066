//! Errors of operators' requests.

use millford_control_state::document::Fault;
use millford_core::{Duration, ResultCode};

/// Error of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorFailure {
    /// The result code.
    pub code: ResultCode,
    /// A message for people; empty to use the standard message of the code.
    pub message: String,
    /// The current configuration revision, if the order conflicts with it.
    pub revision: Option<u64>,
    /// Faults found in the request's body.
    pub faults: Vec<Fault>,
    /// Delay after which a retry may succeed; absent if a retry cannot help.
    pub retry_after: Option<Duration>,
}

/// Retry delay for failures that pass, such as a shard without a leader.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl OperatorFailure {
    /// A failure with the standard message of its code.
    #[must_use]
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            message: String::new(),
            revision: None,
            faults: Vec::new(),
            retry_after: retry_after(code),
        }
    }

    /// Sets a message of its own.
    #[must_use]
    pub fn with_message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }

    /// Sets the current configuration revision.
    #[must_use]
    pub fn with_revision(mut self, revision: u64) -> Self {
        self.revision = Some(revision);
        self
    }

    /// A failure for a body with these faults.
    #[must_use]
    pub fn of_faults(faults: Vec<Fault>) -> Self {
        let code = Fault::overall(&faults);
        Self {
            faults,
            ..Self::new(code)
        }
    }

    /// The message for people.
    #[must_use]
    pub fn text(&self) -> &str {
        if self.message.is_empty() {
            return self.code.text();
        }
        &self.message
    }
}

fn retry_after(code: ResultCode) -> Option<Duration> {
    let temporary = matches!(
        code,
        ResultCode::NoLeader
            | ResultCode::ControlTimeout
            | ResultCode::NotFormed
            | ResultCode::OrderUncertain
    );
    temporary.then_some(RETRY_AFTER)
}
