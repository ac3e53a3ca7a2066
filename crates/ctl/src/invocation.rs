//! A parsed command line.

use std::path::PathBuf;

use millford_core::Duration;

/// Options that hold for every command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonOptions {
    /// Operator addresses of control nodes, tried in turn.
    pub addresses: Vec<String>,
    /// File with the operator key; else the environment has it.
    pub key_file: Option<PathBuf>,
    /// Form of the output.
    pub output: OutputFormat,
    /// How long to keep retrying.
    pub timeout: Duration,
}

/// Form of what is printed, for people or for programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for people.
    Text,
    /// One line of JSON, for failures too.
    Json,
}

/// What the command line requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check a document offline.
    Check {
        /// File of the document.
        file: PathBuf,
    },
    /// A command that needs a control node.
    Online(OnlineCommand),
}

/// A command that is sent to the control nodes, with its own options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnlineCommand {
    /// Replace the configuration.
    Apply(ApplyOptions),
    /// Print the current configuration.
    Get,
    /// Print what a document would change.
    Plan {
        /// File of the document.
        file: PathBuf,
    },
    /// Print members, shards, sessions and replicas.
    Status,
    /// Drain a backend, or lift that.
    Drain(DrainOptions),
    /// Continue with the named survivors after a permanent loss of quorum.
    Recover(RecoverOptions),
}

/// Options of `apply`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOptions {
    /// File of the document.
    pub file: PathBuf,
    /// Revision that the document was built on; the current one when absent.
    pub base_revision: Option<u64>,
    /// Identity of the order; generated when absent.
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
    /// Identities of the survivors, in hexadecimal.
    pub survivors: Vec<String>,
    /// The operator's confirmation, verbatim.
    pub confirm: String,
}

/// A complete command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invocation {
    /// Options that hold for every command.
    pub common: CommonOptions,
    /// The command.
    pub command: Command,
}
