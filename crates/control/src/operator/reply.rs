//! Answers to operators.

use millford_api::operator::{
    ConfigReply, DrainReply, PlanReply, PutConfigReply, RecoveryReply, StatusReply,
};

use super::failure::OperatorFailure;

/// Answer to one request.
#[derive(Clone, Debug)]
pub enum OperatorReply {
    /// The order was accepted.
    Order(PutConfigReply),
    /// The configuration in force.
    Config(Box<ConfigReply>),
    /// What a change would move.
    Plan(Box<PlanReply>),
    /// The control plane as this node sees it.
    Status(Box<StatusReply>),
    /// The drain order stands, or is lifted.
    Drain(DrainReply),
    /// This node is the only voter of these shards now.
    Recovery(RecoveryReply),
    /// Refused or failed.
    Failed(OperatorFailure),
}
