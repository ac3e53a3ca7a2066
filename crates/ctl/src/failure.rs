//! Why a command failed, as a report for people or as JSON.

use miette::Diagnostic;
use millford_api::operator::{ErrorBody, FaultBody};
use millford_control_state::document::Fault;
use millford_core::ResultCode;
use thiserror::Error;

use crate::exit_status::ExitStatus;

/// A failure with its numbered code.
#[derive(Clone, Debug, Error, Diagnostic)]
#[error("{number} {name}: {message}", number = code.number(), name = code.name())]
pub struct Failure {
    /// The numbered code.
    pub code: ResultCode,
    /// One sentence.
    pub message: String,
    /// What to do, when there is something to say.
    #[help]
    pub help: Option<String>,
    /// Present revision, beside a conflict.
    pub revision: Option<u64>,
    /// Faults of a document or order.
    #[related]
    pub faults: Vec<FaultReport>,
}

/// One fault in a report.
#[derive(Clone, Debug, Error, Diagnostic, PartialEq, Eq)]
#[error("{path}: {message}")]
pub struct FaultReport {
    /// Path of the field.
    pub path: String,
    /// One sentence.
    pub message: String,
}

impl Failure {
    /// A failure with the code's own sentence.
    #[must_use]
    pub fn new(code: ResultCode) -> Self {
        Self::with_message(code, code.text())
    }

    /// A failure with another sentence.
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

    /// With advice.
    #[must_use]
    pub fn with_help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// Faults that were found here, offline.
    #[must_use]
    pub fn of_faults(faults: &[Fault]) -> Self {
        let mut failure = Self::new(Fault::overall(faults));
        failure.faults = faults.iter().map(FaultReport::from).collect();
        failure
    }

    /// What a control node answered.
    #[must_use]
    pub fn of_body(body: ErrorBody) -> Self {
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

    /// The same as JSON, in the shape of the interface.
    #[must_use]
    pub fn to_body(&self) -> ErrorBody {
        let mut body = ErrorBody::with_message(self.code, &self.message);
        body.revision = self.revision;
        body.error.faults = self.faults.iter().cloned().map(FaultBody::from).collect();
        body
    }

    /// How the program ends.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        ExitStatus::of(self.code)
    }
}

impl From<&Fault> for FaultReport {
    fn from(fault: &Fault) -> Self {
        Self {
            path: whole_if_empty(&fault.path),
            message: fault.text.clone(),
        }
    }
}

impl From<FaultBody> for FaultReport {
    fn from(fault: FaultBody) -> Self {
        Self {
            path: whole_if_empty(&fault.path),
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

/// An empty path stands for the whole text.
fn whole_if_empty(path: &str) -> String {
    if path.is_empty() { "(whole)" } else { path }.to_owned()
}
