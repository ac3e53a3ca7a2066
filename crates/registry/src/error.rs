//! Why a read of the registry gave no list.

use hyper::StatusCode;

/// Cause of an error, whatever library it comes from.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why a read gave no list. None of this is a reason to stop using backends.
#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    /// No response, or a broken one.
    #[error("the registry does not answer: {0}")]
    Unreachable(#[source] BoxError),
    /// A response that is no list.
    #[error("the registry answered with status {0}")]
    Status(StatusCode),
    /// A list that cannot be parsed.
    #[error("the registry's list cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The list names no backend.
    #[error("the registry lists nothing")]
    Empty,
    /// The list has more pages than any list should.
    #[error("the registry's list does not end")]
    TooManyPages,
    /// No complete response in time.
    #[error("the registry did not answer in time")]
    Timeout,
}

impl RegistryError {
    /// A [`RegistryError::Unreachable`] with its cause.
    pub fn unreachable(cause: impl Into<BoxError>) -> Self {
        Self::Unreachable(cause.into())
    }
}
