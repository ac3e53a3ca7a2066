//! Changes of a group's configuration.

use millford_core::NodeId;

/// A change that concerns one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// The node receives the log and does not vote.
    AddLearner(NodeId),
    /// A learner that has caught up becomes a voter.
    Promote(NodeId),
    /// A voter or learner is removed from the group.
    Remove(NodeId),
}
