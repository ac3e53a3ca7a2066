//! Errors of a scale run.

/// Why a scale run could not be finished: a failure of the rig or of the fleet under it.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The flags cannot be parsed.
    #[error(transparent)]
    Flags(#[from] getopts::Fail),
    /// An argument that belongs to no flag.
    #[error("unexpected argument \"{argument}\"")]
    UnexpectedArgument {
        /// The argument.
        argument: String,
    },
    /// The value of a flag is not a number.
    #[error("--{flag} takes a number, not \"{value}\"")]
    NotANumber {
        /// Name of the flag, without dashes.
        flag: &'static str,
        /// The value that was given.
        value: String,
    },
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
    /// No control node accepted an order in time.
    #[error("the operator interface: {source}")]
    Operator {
        /// Why the last attempt failed; none when there was no time for one.
        source: OrderError,
    },
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
    /// Something cannot be encoded as JSON.
    #[error("the report cannot be written: {0}")]
    Encode(#[from] serde_json::Error),
    /// The plot cannot be drawn or written.
    #[error("the report cannot be written: {0}")]
    Plot(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// Sizes of a sweep could not be measured; the report has their errors.
    #[error("the report cannot be written: {failed} of {all} sizes failed")]
    SizesFailed {
        /// Sizes that failed.
        failed: usize,
        /// Sizes of the sweep.
        all: usize,
    },
}

impl ScaleError {
    /// A system error while doing `what`.
    pub fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |source| Self::System { what, source }
    }
}

/// Why a control node did not accept an operator's order.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// No attempt was made before the time was over.
    #[error("")]
    NotTried,
    /// The order cannot be encoded, or the reply not be decoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// No reply came in time.
    #[error("no answer in time")]
    TimedOut,
    /// The connection failed.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The request cannot be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The exchange over the connection failed.
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    /// The node refused the order.
    #[error("{status}: {body}")]
    Refused {
        /// HTTP status.
        status: hyper::StatusCode,
        /// Body of the reply.
        body: String,
    },
}
