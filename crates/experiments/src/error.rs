//! Errors of the command and of writing a report.

use std::path::PathBuf;

/// Why an experiment was not run, or its report not written.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The flags cannot be parsed.
    #[error(transparent)]
    Flags(#[from] getopts::Fail),
    /// No experiment, or more than one, is named.
    #[error("Name one experiment.")]
    NotOneName,
    /// No experiment has this name.
    #[error("There is no experiment {name}.")]
    UnknownExperiment {
        /// The name that was given.
        name: String,
    },
    /// The value of `--seeds` is not a number.
    #[error("--seeds: {source}")]
    SeedsNotANumber {
        /// What is wrong with it.
        source: std::num::ParseIntError,
    },
    /// The value of `--seeds` is 0.
    #[error("--seeds must be at least 1.")]
    NoSeeds,
    /// A folder or file of the report cannot be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// The folder or file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The report cannot be encoded as JSON.
    #[error("the report cannot be encoded as JSON: {0}")]
    Encode(#[from] serde_json::Error),
    /// A chart cannot be drawn or written.
    #[error("{}: {source}", path.display())]
    Draw {
        /// The chart's file.
        path: PathBuf,
        /// The drawing library's error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
