//! Faults of a document or order.

use std::fmt;

use millford_core::ResultCode;

/// One fault of a document or order: the position, a code and an explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `routes[0].pool`; empty for the document as a whole.
    pub path: String,
    /// [`ResultCode::BadJson`], [`ResultCode::BadField`] (a field is missing, unknown or of a wrong
    /// type) or [`ResultCode::DocumentInvalid`] (the document can be read, but violates a rule).
    pub code: ResultCode,
    /// Explanation for operators, one sentence.
    pub text: String,
}

impl Fault {
    /// Returns the code of a response with these faults: [`ResultCode::BadJson`] if any fault has
    /// it, else [`ResultCode::BadField`] if any has it, else [`ResultCode::DocumentInvalid`].
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
