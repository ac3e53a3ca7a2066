//! Errors of starting and driving a fleet.

use std::path::PathBuf;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;

use crate::arguments::ArgumentError;

/// An error that stops a command which starts or drives a fleet.
#[derive(Debug, Error, Diagnostic)]
pub enum FleetError {
    /// A program of the workspace was not built.
    #[error("program {} not found", .0.display())]
    #[diagnostic(help("build the workspace: cargo build --locked"))]
    ProgramMissing(PathBuf),
    /// An input or output operation failed, for instance starting a process or writing its files.
    #[error("{what}: {source}")]
    Io {
        /// The operation that failed, for instance `writing a settings file`.
        what: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A process exited before it printed its ready line.
    #[error("{name} exited before it was ready; see its log {}", log.display())]
    EndedEarly {
        /// Name of the process.
        name: String,
        /// File with the output of the process.
        log: PathBuf,
    },
    /// An awaited condition did not hold within its timeout.
    #[error("timed out after {limit:?} waiting for {what}")]
    Timeout {
        /// The awaited condition, for instance `the readiness of a proxy`.
        what: String,
        /// Longest wait.
        limit: Duration,
    },
    /// A request to the operator interface or to a process of the fleet failed; the text says which.
    #[error("request failed: {0}")]
    Operator(String),
    /// The configuration document of a site cannot be parsed.
    #[error("cannot parse the configuration document of site {site}: {source}")]
    Document {
        /// Name of the site.
        site: &'static str,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The command line is invalid.
    #[error(transparent)]
    Argument(#[from] ArgumentError),
}

impl FleetError {
    /// Returns a function that wraps an input or output error with the operation `what` that failed.
    pub fn io(what: &str) -> impl FnOnce(std::io::Error) -> FleetError {
        let what = what.to_owned();
        move |source| FleetError::Io { what, source }
    }
}
