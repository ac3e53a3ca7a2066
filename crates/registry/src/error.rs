//! Why a reading of the registry gave nothing.

use hyper::StatusCode;

/// Why a reading gave nothing. None of this is a reason to stop using backends.
#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    /// No answer, or a broken one.
    #[error("the registry does not answer: {0}")]
    Unreachable(String),
    /// An answer that is no list.
    #[error("the registry answered with status {0}")]
    Status(StatusCode),
    /// A list that cannot be read.
    #[error("the registry's list cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The list names no backend.
    #[error("the registry lists nothing")]
    Empty,
    /// The list has more pages than any list should.
    #[error("the registry's list does not end")]
    Endless,
    /// No answer in time.
    #[error("the registry did not answer in time")]
    Late,
}
