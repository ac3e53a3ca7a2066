//! Errors of reading journal entries.

use std::path::PathBuf;

use thiserror::Error;

/// Reason why a journal entry cannot be used.
#[derive(Debug, Error)]
pub enum DaysError {
    /// A file could not be read.
    #[error("{path}: {source}")]
    Input {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file is not a journal entry.
    #[error("{path} is not a journal entry of a bench run: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}
