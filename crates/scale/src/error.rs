//! Errors of a scale test.

/// Failure of a scale test, in the test harness or in the fleet under test.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The flags cannot be parsed.
    #[error(transparent)]
    Flags(#[from] getopts::Fail),
    /// A positional argument, of which the command takes none.
    #[error("unexpected argument \"{argument}\"")]
    UnexpectedArgument {
        /// The argument as given.
        argument: String,
    },
    /// The value of a flag is not a number.
    #[error("--{flag} takes a number, not \"{value}\"")]
    NotANumber {
        /// Name of the flag, without dashes.
        flag: &'static str,
        /// The value as given.
        value: String,
    },
    /// An operation on a file, a socket, a thread or a process failed.
    #[error("cannot {what}: {source}")]
    System {
        /// The operation, as a verb phrase.
        what: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A process printed no ready line in time, or exited before it did.
    #[error("{program} did not become ready: {reason}")]
    Process {
        /// Path of the program.
        program: String,
        /// The process's log output; empty when it logged nothing.
        reason: String,
    },
    /// No control node accepted a configuration order before the timeout.
    #[error("no control node accepted the configuration order: {source}")]
    Operator {
        /// Failure of the last attempt, or [`OrderError::NotTried`] when the timeout left no time for one.
        source: OrderError,
    },
    /// The fleet did not reach a state before the timeout.
    #[error("timed out after {seconds} s waiting for {what} ({detail})")]
    NotReached {
        /// The awaited state, as a noun phrase.
        what: &'static str,
        /// The timeout, in seconds.
        seconds: u64,
        /// Progress at the timeout, such as the number of nodes that had reached the state.
        detail: String,
    },
    /// A report or the registry's backend list cannot be encoded as JSON.
    #[error("cannot encode as JSON: {0}")]
    Encode(#[from] serde_json::Error),
    /// The plot cannot be drawn or written.
    #[error("the plot cannot be drawn or written: {0}")]
    Plot(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// At least one size could not be measured; the report lists the error of each.
    #[error("{failed} of {all} sizes failed")]
    SizesFailed {
        /// Number of sizes that failed.
        failed: usize,
        /// Number of sizes that were run.
        all: usize,
    },
}

impl ScaleError {
    /// Returns a conversion from an I/O error to [`ScaleError::System`]; `what` names the operation as a verb
    /// phrase.
    pub fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |source| Self::System { what, source }
    }
}

/// Failure to get an operator's order accepted by a control node.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The timeout passed before the first attempt.
    #[error("no attempt was made before the timeout")]
    NotTried,
    /// The order cannot be encoded, or the reply cannot be decoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The control node sent no reply before the timeout.
    #[error("no reply before the timeout")]
    TimedOut,
    /// The TCP connection could not be opened.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The HTTP request cannot be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The HTTP exchange failed after the connection was open.
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    /// The control node refused the order.
    #[error("{status}: {body}")]
    Refused {
        /// HTTP status of the reply.
        status: hyper::StatusCode,
        /// Body of the reply.
        body: String,
    },
}
