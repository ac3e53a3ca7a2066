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
    /// Numbered result code; it decides the exit status.
    pub code: ResultCode,
    /// One sentence.
    pub message: String,
    /// Advice on what to do, if there is any.
    #[help]
    pub help: Option<String>,
    /// Current revision, with [`ResultCode::RevisionConflict`].
    pub revision: Option<u64>,
    /// Faults of a document or order.
    #[related]
    pub faults: Vec<FaultReport>,
}

/// One fault of a document or order, as a diagnostic.
#[derive(Clone, Debug, Error, Diagnostic, PartialEq, Eq)]
#[error("{path}: {message}")]
pub struct FaultReport {
    /// Path of the field.
    pub path: String,
    /// One sentence.
    pub message: String,
}

impl Failure {
    /// A failure with the result code's own text.
    #[must_use]
    pub fn new(code: ResultCode) -> Self {
        Self::with_message(code, code.text())
    }

    /// A failure with a message of its own.
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

    /// Adds advice.
    #[must_use]
    pub fn with_help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// A failure for faults that were found offline.
    #[must_use]
    pub fn from_faults(faults: &[Fault]) -> Self {
        let mut failure = Self::new(Fault::overall(faults));
        failure.faults = faults.iter().map(FaultReport::from).collect();
        failure
    }

    /// Converts the error body of a control node.
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
                "the present revision is {revision}: read it with `get`, build on it, plan, apply"
            ));
        }
        failure
    }

    /// The error body of the operators' interface for this failure.
    #[must_use]
    pub fn to_body(&self) -> ErrorBody {
        let mut body = ErrorBody::with_message(self.code, &self.message);
        body.revision = self.revision;
        body.error.faults = self.faults.iter().cloned().map(FaultBody::from).collect();
        body
    }

    /// Whether another node, or the same one later, may succeed.
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

    /// Exit status of the process.
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

/// An empty path refers to the whole document.
fn path_or_root(path: &str) -> String {
    if path.is_empty() { "(whole)" } else { path }.to_owned()
}
