//! Body of every refusal, to callers and operators alike.

use millford_core::{ResultCode, RunState};
use serde::{Deserialize, Serialize};

/// `{"error": {...}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
    /// Present revision, beside [`ResultCode::RevisionConflict`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Number of the result, see `docs/ERRORS.md`.
    pub code: u32,
    /// Name of the result.
    pub name: String,
    /// One sentence for people.
    pub message: String,
    /// To callers only: whether the request may have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<RunState>,
    /// When asking again may help, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Every fault of a document or order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FaultBody>,
}

/// One fault of a document or order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultBody {
    /// Path of the field, such as `document.routes[0].pool`.
    pub path: String,
    /// One sentence for people.
    pub message: String,
}

impl ErrorBody {
    /// A body with the code's own sentence.
    #[must_use]
    pub fn new(code: ResultCode) -> Self {
        Self::with_message(code, code.text())
    }

    /// A body with another sentence.
    #[must_use]
    pub fn with_message(code: ResultCode, message: impl Into<String>) -> Self {
        let error = ErrorDetail {
            code: code.number(),
            name: code.name().to_owned(),
            message: message.into(),
            run: None,
            retry_after_ms: None,
            faults: Vec::new(),
        };
        Self {
            error,
            revision: None,
        }
    }
}
