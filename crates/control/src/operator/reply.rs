//! Answers to operators.

use millford_api::config::Document;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::failure::OperatorFailure;
use super::status::StatusReply;

/// Answer to one request.
#[derive(Clone, Debug)]
pub enum OperatorReply {
    /// The order was accepted.
    Order(OrderReply),
    /// The configuration in force.
    Config(Box<ConfigReply>),
    /// What a change would move.
    Plan(Box<PlanReply>),
    /// The control plane as this node sees it.
    Status(Box<StatusReply>),
    /// The drain order stands, or is lifted.
    Drain(DrainReply),
    /// This node goes on alone.
    Recovery(RecoveryReply),
    /// Refused or failed.
    Failed(OperatorFailure),
}

/// The order was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Number that the order got.
    pub revision: u64,
    /// Whether it had been accepted before.
    pub repeated: bool,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Its number; 0 before the first order.
    pub revision: u64,
    /// SHA-256 of the canonical JSON in hexadecimal; empty before the first order.
    pub digest: String,
    /// The document.
    pub document: Document,
}

/// What a change would move.
#[derive(Clone, Debug, Serialize)]
pub struct PlanReply {
    /// Revision that the plan was worked out against.
    pub revision: u64,
    /// The plan.
    pub plan: Value,
}

/// The drain order stands, or is lifted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReply {
    /// Pool of the backend.
    pub pool: String,
    /// Identity of the backend.
    pub backend_id: String,
    /// Whether a drain order stands now.
    pub drain: bool,
}

/// This node goes on alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryReply {
    /// Shards that were recovered.
    pub shards: Vec<u32>,
}
