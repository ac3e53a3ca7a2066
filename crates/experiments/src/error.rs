//! Errors of the command line and of writing a report.

use std::path::PathBuf;

/// Failure to run an experiment or to write its report.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The flags cannot be parsed.
    #[error(transparent)]
    Flags(#[from] getopts::Fail),
    /// The command line names no experiment, or more than one.
    #[error("expected the name of one experiment")]
    NotOneName,
    /// No experiment has the given name.
    #[error("unknown experiment {name}")]
    UnknownExperiment {
        /// The name as given.
        name: String,
    },
    /// The value of `--seeds` is not a number.
    #[error("--seeds: {source}")]
    SeedsNotANumber {
        /// The parser's error.
        source: std::num::ParseIntError,
    },
    /// The value of `--seeds` is 0.
    #[error("--seeds must be at least 1")]
    NoSeeds,
    /// The report's folder cannot be created, or one of its files cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// Path of the folder or file.
        path: PathBuf,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The report cannot be encoded as JSON.
    #[error("the report cannot be encoded as JSON: {0}")]
    Encode(#[from] serde_json::Error),
    /// A chart cannot be drawn or its file cannot be written.
    #[error("cannot draw {}: {source}", path.display())]
    Draw {
        /// Path of the chart's file.
        path: PathBuf,
        /// Error from the plotting library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
