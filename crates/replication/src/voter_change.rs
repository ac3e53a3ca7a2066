//! Changes of a group's configuration.

use millford_core::NodeId;

/// A configuration change that affects one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// Adds a node as a learner, which receives the log and does not vote.
    AddLearner(NodeId),
    /// Makes a learner that has caught up a voter.
    Promote(NodeId),
    /// Removes a voter or learner from the group.
    Remove(NodeId),
}
