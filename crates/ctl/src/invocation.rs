//! What the command line asks for.

use std::path::PathBuf;

use millford_core::Duration;

/// Options that hold for every command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonOptions {
    /// Operator addresses of control nodes, tried in turn.
    pub addresses: Vec<String>,
    /// File with the operator key; else the environment has it.
    pub key_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
    /// How long to go on trying.
    pub timeout: Duration,
}

/// One command with its own options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Replace the configuration.
    Apply(ApplyOptions),
    /// Print the configuration in force.
    Get,
    /// Print what a change would move.
    Plan {
        /// File of the document.
        file: PathBuf,
    },
    /// Print members, shards, sessions and replicas.
    Status,
    /// Check a document offline.
    Check {
        /// File of the document.
        file: PathBuf,
    },
    /// Keep new work off a backend, or lift that.
    Drain(DrainOptions),
    /// Go on with the named survivors after a quorum was lost for good.
    Recover(RecoverOptions),
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// Options of `apply`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOptions {
    /// File of the document.
    pub file: PathBuf,
    /// Revision that the document was built on; read from a control node when absent.
    pub base_revision: Option<u64>,
    /// Identity of the order; made up when absent.
    pub order_id: Option<String>,
}

/// Options of `drain`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainOptions {
    /// Name of the pool.
    pub pool: String,
    /// Identity of the backend.
    pub backend_id: String,
    /// Whether to lift the order.
    pub undo: bool,
}

/// Options of `recover`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoverOptions {
    /// Identities of the survivors, in hexadecimal.
    pub survivors: Vec<String>,
    /// The operator's acceptance, word for word.
    pub confirm: String,
}

/// A whole command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invocation {
    /// Options that hold for every command.
    pub common: CommonOptions,
    /// The command.
    pub command: Command,
}
