//! Faults of a scenario file.

/// Why a scenario file cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {text}")]
pub struct ParseError {
    /// Line number, from 1.
    pub line: usize,
    /// What is wrong.
    pub text: String,
}
