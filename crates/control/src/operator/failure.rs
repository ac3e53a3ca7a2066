//! Refusals and failures of operators' requests.

use millford_control_state::document::Fault;
use millford_core::{Duration, ResultCode};

/// Why a request was refused or failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorFailure {
    /// The numbered code.
    pub code: ResultCode,
    /// One sentence; the code's own when empty.
    pub message: String,
    /// The present revision, beside a conflict.
    pub revision: Option<u64>,
    /// Faults of the body.
    pub faults: Vec<Fault>,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

/// Delay before a retry while a shard has no leader.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl OperatorFailure {
    /// A failure with the code's own sentence.
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

    /// With a sentence of its own.
    #[must_use]
    pub fn with_message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }

    /// With the present revision.
    #[must_use]
    pub fn with_revision(mut self, revision: u64) -> Self {
        self.revision = Some(revision);
        self
    }

    /// A body with faults.
    #[must_use]
    pub fn of_faults(faults: Vec<Fault>) -> Self {
        let code = Fault::overall(&faults);
        Self {
            faults,
            ..Self::new(code)
        }
    }

    /// The sentence for people.
    #[must_use]
    pub fn text(&self) -> &str {
        if self.message.is_empty() {
            return self.code.text();
        }
        &self.message
    }
}

fn retry_after(code: ResultCode) -> Option<Duration> {
    let passing = matches!(
        code,
        ResultCode::NoLeader
            | ResultCode::ControlTimeout
            | ResultCode::NotFormed
            | ResultCode::OrderUncertain
    );
    passing.then_some(RETRY_AFTER)
}
