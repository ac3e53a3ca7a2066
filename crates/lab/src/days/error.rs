//! Errors of the account of days.

use std::path::PathBuf;

use thiserror::Error;

/// Why there is no account.
#[derive(Debug, Error)]
pub enum DaysError {
    /// A file could not be read.
    #[error("{path}: {source}")]
    Input {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: std::io::Error,
    },
    /// A file is no entry.
    #[error("{path} is no entry of a bench run: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}
