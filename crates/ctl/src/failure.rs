//! Failure of a command, printed as a diagnostic or as JSON.

use miette::Diagnostic;
use millford_api::operator::{ErrorBody, FaultBody};
use millford_control_state::document::Fault;
use millford_core::ResultCode;
use thiserror::Error;

use crate::exit_status::ExitStatus;

/// A failed command with its numbered result code.
#[derive(Clone, Debug, Error, Diagnostic)]
#[error("{number} {name}: {message}", number = code.number(), name = code.name())]
pub struct Failure {
    /// Numbered result code, which determines the exit status.
    pub code: ResultCode,
    /// Human-readable description, one sentence.
    pub message: String,
    /// Advice on what the operator can do; absent if there is none.
    #[help]
    pub help: Option<String>,
    /// Configuration revision in force; set with [`ResultCode::RevisionConflict`].
    pub revision: Option<u64>,
    /// Faults of a document or order; empty for other failures.
    #[related]
    pub faults: Vec<FaultReport>,
}

/// One fault of a document or order, as a diagnostic.
#[derive(Clone, Debug, Error, Diagnostic, PartialEq, Eq)]
#[error("{path}: {message}")]
pub struct FaultReport {
    /// Path of the field, such as `document.routes[0].pool`.
    pub path: String,
    /// Human-readable description, one sentence.
    pub message: String,
}

impl Failure {
    /// Creates a failure with the result code's own text as the message.
    #[must_use]
    pub fn new(code: ResultCode) -> Self {
        Self::with_message(code, code.text())
    }

    /// Creates a failure with the given message.
    #[must_use]
    pub fn with_message(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            help: None,
            revision: None,
            faults: Vec::new(),
        }
    }

    /// Adds advice on what the operator can do.
    #[must_use]
    pub fn with_help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// Creates a failure from the faults that the offline check found.
    #[must_use]
    pub fn from_faults(faults: &[Fault]) -> Self {
        let mut failure = Self::new(Fault::overall(faults));
        failure.faults = faults.iter().map(FaultReport::from).collect();
        failure
    }

    /// Converts the error body of a control node's response. An unknown result code becomes
    /// [`ResultCode::ProtocolViolation`].
    #[must_use]
    pub fn from_body(body: ErrorBody) -> Self {
        let known = ResultCode::from_number(body.error.code);
        let code = known.unwrap_or(ResultCode::ProtocolViolation);
        let mut failure = Self::with_message(code, body.error.message);
        failure.revision = body.revision;
        failure.faults = body
            .error
            .faults
            .into_iter()
            .map(FaultReport::from)
            .collect();
        if let Some(revision) = body.revision {
            failure.help = Some(format!(
                "the revision in force is {revision}: read it with `get`, base the document on it, then plan and apply again"
            ));
        }
        failure
    }

    /// Converts the failure to an error body of the operators' API, for the JSON output.
    #[must_use]
    pub fn to_body(&self) -> ErrorBody {
        let mut body = ErrorBody::with_message(self.code, &self.message);
        body.revision = self.revision;
        body.error.faults = self.faults.iter().cloned().map(FaultBody::from).collect();
        body
    }

    /// Returns whether the request may succeed at another node, or later at the same one.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        matches!(
            self.code,
            ResultCode::NoLeader
                | ResultCode::NotLeader
                | ResultCode::ControlTimeout
                | ResultCode::NotFormed
                | ResultCode::OrderUncertain
        )
    }

    /// Returns the exit status of the process.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        ExitStatus::of(self.code)
    }
}

impl From<&Fault> for FaultReport {
    fn from(fault: &Fault) -> Self {
        Self {
            path: path_or_root(&fault.path),
            message: fault.text.clone(),
        }
    }
}

impl From<FaultBody> for FaultReport {
    fn from(fault: FaultBody) -> Self {
        Self {
            path: path_or_root(&fault.path),
            message: fault.message,
        }
    }
}

impl From<FaultReport> for FaultBody {
    fn from(fault: FaultReport) -> Self {
        Self {
            path: fault.path,
            message: fault.message,
        }
    }
}

/// Replaces an empty path, which refers to the whole document, with a readable text.
fn path_or_root(path: &str) -> String {
    if path.is_empty() { "(whole)" } else { path }.to_owned()
}
