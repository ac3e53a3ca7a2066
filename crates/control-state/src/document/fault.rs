//! One fault of a document or order.

use std::fmt;

use millford_core::ResultCode;

/// Where a document is invalid, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `routes[0].pool`; empty for the document as a whole.
    pub path: String,
    /// [`ResultCode::BadJson`], [`ResultCode::BadField`] (missing, unknown or of a wrong type) or
    /// [`ResultCode::DocumentInvalid`] (well formed, but against a rule).
    pub code: ResultCode,
    /// One sentence for operators.
    pub text: String,
}

impl Fault {
    /// The code of a response with these faults: that of the first kind of fault that keeps the
    /// document from being read at all, else [`ResultCode::DocumentInvalid`].
    #[must_use]
    pub fn overall(faults: &[Fault]) -> ResultCode {
        let any = |code| faults.iter().any(|fault| fault.code == code);
        if any(ResultCode::BadJson) {
            ResultCode::BadJson
        } else if any(ResultCode::BadField) {
            ResultCode::BadField
        } else {
            ResultCode::DocumentInvalid
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return formatter.write_str(&self.text);
        }
        write!(formatter, "{}: {}", self.path, self.text)
    }
}
