//! Body of every error response, to callers as well as to operators.

use millford_core::{ResultCode, RunState};
use serde::{Deserialize, Serialize};

/// Body of an error response: `{"error": {...}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Code, description and details of the error.
    pub error: ErrorDetail,
    /// Configuration revision in force; set with [`ResultCode::RevisionConflict`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// An error with its numbered result code.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Number of the result code, see `docs/ERRORS.md`.
    pub code: u32,
    /// Name of the result code.
    pub name: String,
    /// Human-readable description, one sentence.
    pub message: String,
    /// Whether a backend may have run the request; set only in responses to callers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<RunState>,
    /// Time after which a retry may succeed, in milliseconds; absent if no retry is suggested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// All faults of a document or order; empty for other errors.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FaultBody>,
}

/// One fault of a document or order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultBody {
    /// Path of the field, such as `document.routes[0].pool`.
    pub path: String,
    /// Human-readable description, one sentence.
    pub message: String,
}

impl ErrorBody {
    /// Creates a body with the result code's own text as the message.
    #[must_use]
    pub fn new(code: ResultCode) -> Self {
        Self::with_message(code, code.text())
    }

    /// Creates a body with the given message.
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
