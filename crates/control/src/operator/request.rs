//! Requests of operators.

use millford_api::command::PutConfig;
use millford_api::config::Document;
use millford_core::NodeId;

/// A request of an operator, with a body that is already parsed and validated.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Replace the configuration.
    PutConfig(PutConfig),
    /// Return the configuration in force, by a confirmed read.
    GetConfig,
    /// Return the effects that this configuration would have.
    Plan(Document),
    /// Return the members, shards, sessions and placements.
    Status,
    /// Drain a backend, or withdraw the drain order.
    Drain {
        /// Name of the pool.
        pool: String,
        /// Identity of the backend.
        backend_id: String,
        /// Whether to drain the backend; false withdraws the order.
        drain: bool,
    },
    /// Make this node the only voter of the shards that have permanently lost their quorum.
    Recover {
        /// The control nodes that are left, this node among them.
        survivors: Vec<NodeId>,
    },
}
