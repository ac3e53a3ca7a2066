//! Errors of registry reads.

use hyper::StatusCode;

/// Cause of an error, of any type.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Error of a registry read. It never means that the backends are gone: the reader continues with
/// the last view. A list that stays empty is no error, see [`crate::ConfirmedEmptyList`].
#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    /// The connection failed, or the response was incomplete or too large.
    #[error("request to the registry failed: {0}")]
    Unreachable(#[source] BoxError),
    /// The status of the response is not 200.
    #[error("the registry responded with status {0}")]
    Status(StatusCode),
    /// The body of the response cannot be parsed.
    #[error("the registry's list is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The list contains no backend; see [`crate::ConfirmedEmptyList`].
    #[error("the registry's list contains no backend")]
    Empty,
    /// The list has more pages than the client accepts.
    #[error("the registry's list has too many pages")]
    TooManyPages,
    /// The read did not finish within its timeout.
    #[error("the registry read timed out")]
    Timeout,
}

impl RegistryError {
    /// Creates a [`RegistryError::Unreachable`] with its cause.
    pub fn unreachable(cause: impl Into<BoxError>) -> Self {
        Self::Unreachable(cause.into())
    }
}
