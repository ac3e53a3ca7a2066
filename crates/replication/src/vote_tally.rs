//! Votes that a candidate has received.

use std::collections::BTreeSet;

use millford_core::NodeId;

use crate::configuration::Configuration;

/// Nodes that granted their vote in one election or pre-vote.
#[derive(Debug, Default)]
pub(crate) struct VoteTally {
    granted: BTreeSet<NodeId>,
}

impl VoteTally {
    /// Creates a tally with the candidate's own vote.
    pub(crate) fn new(candidate: NodeId) -> Self {
        Self {
            granted: BTreeSet::from([candidate]),
        }
    }

    /// Counts a granted vote. Repeated votes of a node count once.
    pub(crate) fn record_grant(&mut self, voter: NodeId) {
        self.granted.insert(voter);
    }

    /// Whether a quorum of the configuration's voters granted their vote.
    pub(crate) fn is_won(&self, configuration: &Configuration) -> bool {
        configuration.is_quorum(|voter| self.granted.contains(&voter))
    }
}
