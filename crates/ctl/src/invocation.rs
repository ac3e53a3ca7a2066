//! Types of a parsed command line.

use std::path::PathBuf;

use millford_core::Duration;

/// Options that every command has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonOptions {
    /// Operator addresses (IP address and port) of control nodes, tried in turn.
    pub addresses: Vec<String>,
    /// File with the operator key. Absent: the key is in the environment.
    pub key_file: Option<PathBuf>,
    /// Format in which results and failures are printed.
    pub output: OutputFormat,
    /// Time after which a request is no longer retried.
    pub timeout: Duration,
}

/// Output format of results and failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// One line of JSON.
    Json,
}

/// The command to run, with its own options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the program's version.
    Version,
    /// Validate a document offline.
    Check {
        /// File with the document.
        file: PathBuf,
    },
    /// A command that is sent to a control node.
    Online(OnlineCommand),
}

/// A command that is sent to a control node, with its own options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnlineCommand {
    /// Replace the configuration in force.
    Apply(ApplyOptions),
    /// Print the configuration in force.
    Get,
    /// Print what a document would change.
    Plan {
        /// File with the document.
        file: PathBuf,
    },
    /// Print members, shards, sessions and replicas.
    Status,
    /// Drain a backend or lift its drain.
    Drain(DrainOptions),
    /// Continue with the named survivors after a permanent loss of quorum.
    Recover(RecoverOptions),
}

/// Options of `apply`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOptions {
    /// File with the document.
    pub file: PathBuf,
    /// Revision that the document is based on. Absent: the revision in force.
    pub base_revision: Option<u64>,
    /// Idempotency key of the order. Absent: one is generated.
    pub order_id: Option<String>,
}

/// What `drain` does with a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Stop routing new work to it.
    Drain,
    /// Lift an earlier drain.
    Undo,
}

/// Options of `drain`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainOptions {
    /// Name of the pool.
    pub pool: String,
    /// Identity of the backend.
    pub backend_id: String,
    /// What to do with the backend.
    pub action: DrainAction,
}

/// Options of `recover`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoverOptions {
    /// Identities of the surviving control nodes, in hexadecimal.
    pub survivors: Vec<String>,
    /// The operator's confirmation; must equal `RecoveryBody::CONFIRMATION`.
    pub confirm: String,
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invocation {
    /// Options that every command has.
    pub common: CommonOptions,
    /// The command to run.
    pub command: Command,
}
