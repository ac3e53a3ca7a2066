//! Votes that a candidate has received.

use std::collections::BTreeSet;

use millford_core::NodeId;

use crate::configuration::Configuration;

/// Nodes that granted their vote in one election or pre-vote.
#[derive(Debug, Default)]
pub struct VoteTally {
    granted: BTreeSet<NodeId>,
}

impl VoteTally {
    /// A ballot with the candidate's own vote.
    pub fn new(candidate: NodeId) -> Self {
        Self {
            granted: BTreeSet::from([candidate]),
        }
    }

    /// Counts a vote; the same node counts once.
    pub fn grant(&mut self, voter: NodeId) {
        self.granted.insert(voter);
    }

    /// Whether a quorum of the configuration's voters granted.
    pub fn is_won(&self, configuration: &Configuration) -> bool {
        configuration.is_quorum(|voter| self.granted.contains(&voter))
    }
}
