//! Why a scale run could not be finished.

/// A fault of the rig or of the fleet under it.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A command-line argument is wrong.
    #[error("{0}")]
    BadArgument(String),
    /// Files, sockets or processes failed.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A process did not start or ended too early.
    #[error("{program} did not come up: {reason}")]
    Process {
        /// Program name.
        program: String,
        /// What it said.
        reason: String,
    },
    /// The operator interface refused or did not answer.
    #[error("the operator interface: {0}")]
    Operator(String),
    /// The fleet did not reach a state in time.
    #[error("not reached within {seconds} s: {what} ({detail})")]
    NotReached {
        /// What was waited for.
        what: &'static str,
        /// Longest wait.
        seconds: u64,
        /// How far it came.
        detail: String,
    },
    /// A report could not be written.
    #[error("the report cannot be written: {0}")]
    Report(String),
}

impl ScaleError {
    /// A system error while doing `what`.
    pub fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |source| Self::System { what, source }
    }
}
