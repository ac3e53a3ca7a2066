//! Errors of starting and driving a fleet.

use std::path::PathBuf;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;

use crate::arguments::ArgumentError;

/// Why a fleet could not be brought up or driven.
#[derive(Debug, Error, Diagnostic)]
pub enum FleetError {
    /// A program of the workspace was not built.
    #[error("{} is missing", .0.display())]
    #[diagnostic(help("build the whole workspace: cargo build --locked"))]
    ProgramMissing(PathBuf),
    /// A process could not be started, or its files not written.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A process ended before its ready line.
    #[error("{name} ended before it was ready; its log is {}", log.display())]
    EndedEarly {
        /// Name of the process.
        name: String,
        /// Its log.
        log: PathBuf,
    },
    /// An awaited condition did not hold within its timeout.
    #[error("{what} did not happen within {bound:?}")]
    Timeout {
        /// Awaited event.
        what: String,
        /// Longest wait.
        bound: Duration,
    },
    /// The operator's tool or interface rejected a request.
    #[error("the operator interface refused: {0}")]
    Operator(String),
    /// The site's document cannot be parsed.
    #[error("the document of {site}: {source}")]
    Document {
        /// Name of the site.
        site: &'static str,
        /// Cause.
        source: serde_json::Error,
    },
    /// The command line cannot be used.
    #[error(transparent)]
    Argument(#[from] ArgumentError),
}

impl FleetError {
    /// Wraps an input or output error with what was tried.
    pub fn io(what: &str) -> impl FnOnce(std::io::Error) -> FleetError {
        let what = what.to_owned();
        move |source| FleetError::Io { what, source }
    }
}
