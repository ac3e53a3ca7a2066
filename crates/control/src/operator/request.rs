//! Requests of operators.

use millford_api::command::PutConfig;
use millford_api::config::Document;
use millford_core::NodeId;

/// A request of an operator. Bodies are read and checked before they come here.
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
    /// Drain a backend, or end its draining.
    Drain {
        /// Name of the pool.
        pool: String,
        /// Identity of the backend.
        backend_id: String,
        /// Whether to drain.
        drain: bool,
    },
    /// Make this node the only voter after a quorum was lost for good.
    Recover {
        /// The nodes that remain.
        survivors: Vec<NodeId>,
    },
}
