//! Errors of the account.

use thiserror::Error;

/// Why there is no account.
#[derive(Debug, Error)]
pub enum DecisionsError {
    /// A line carries the mark of a record and cannot be read as one.
    #[error("line {line} is no decision record: {source}")]
    UnreadableRecord {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The input could not be read.
    #[error("the input cannot be read: {0}")]
    Input(#[from] std::io::Error),
    /// The plot could not be drawn.
    #[error("the plot cannot be drawn: {0}")]
    Plot(String),
}
