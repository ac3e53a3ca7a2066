//! Requests of operators.

use millford_api::command::PutConfig;
use millford_api::config::Document;
use millford_core::NodeId;

/// What an operator asks for. Bodies are read and checked before they come here.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Replace the configuration.
    PutConfig(PutConfig),
    /// The configuration in force, by a confirmed read.
    GetConfig,
    /// What a change would move.
    Plan(Document),
    /// Members, shards, sessions, placements.
    Status,
    /// Keep new work off a backend, or lift that.
    Drain {
        /// Name of the pool.
        pool: String,
        /// Identity of the backend.
        backend_id: String,
        /// Whether to drain.
        drain: bool,
    },
    /// Go on with this node alone after a quorum was lost for good.
    Recover {
        /// The nodes that remain.
        survivors: Vec<NodeId>,
    },
}
