//! Errors of reading and reporting decision records.

use thiserror::Error;

/// Error of reading decision records or drawing their chart.
#[derive(Debug, Error)]
pub enum DecisionsError {
    /// A line contains [`LOG_MARK`](crate::LOG_MARK), but no valid record after it.
    #[error("line {line} has no valid decision record: {source}")]
    UnreadableRecord {
        /// Number of the line, from 1.
        line: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The input could not be read.
    #[error("cannot read the input: {0}")]
    Input(#[from] std::io::Error),
    /// The chart could not be drawn.
    #[error("cannot draw the chart: {0}")]
    Plot(String),
}
