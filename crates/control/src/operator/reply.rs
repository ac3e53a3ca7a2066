//! Replies to operators.

use millford_api::operator::{
    ConfigReply, DrainReply, PlanReply, PutConfigReply, RecoveryReply, StatusReply,
};

use super::failure::OperatorFailure;

/// Reply to an [`super::OperatorRequest`].
#[derive(Clone, Debug)]
pub enum OperatorReply {
    /// The configuration order was accepted.
    Order(PutConfigReply),
    /// The configuration in force.
    Config(Box<ConfigReply>),
    /// The effects that a changed configuration would have.
    Plan(Box<PlanReply>),
    /// The status of the control plane, as seen by this node.
    Status(Box<StatusReply>),
    /// The drain order was recorded or withdrawn.
    Drain(DrainReply),
    /// The shards whose only voter this node becomes.
    Recovery(RecoveryReply),
    /// The request was refused or failed.
    Failed(OperatorFailure),
}
