//! Configurations of a group: its voters and learners.

use std::collections::BTreeSet;

use millford_api::replication::{LogEntry, VoterSet, log_entry::Payload};
use millford_core::NodeId;

/// Voters and learners of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Configuration {
    /// Replicas that vote and count towards quorums.
    pub(crate) voters: BTreeSet<NodeId>,
    /// Replicas that receive the log and neither vote nor count towards quorums.
    pub(crate) learners: BTreeSet<NodeId>,
}

impl Configuration {
    /// Number of voters that form a quorum: more than half.
    pub(crate) fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters that satisfy `predicate` form a quorum. False without voters.
    pub(crate) fn is_quorum(&self, predicate: impl Fn(NodeId) -> bool) -> bool {
        let count = self
            .voters
            .iter()
            .filter(|voter| predicate(**voter))
            .count();
        count >= self.quorum()
    }

    /// The highest number that the values of a quorum of voters reach, for example the highest
    /// index that is durable on a quorum. 0 without voters.
    pub(crate) fn quorum_value(&self, value: impl Fn(NodeId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.iter().map(|voter| value(*voter)).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Whether the node is a voter.
    pub(crate) fn is_voter(&self, node: NodeId) -> bool {
        self.voters.contains(&node)
    }

    /// Whether the node is a voter or a learner.
    pub(crate) fn contains(&self, node: NodeId) -> bool {
        self.is_voter(node) || self.learners.contains(&node)
    }

    /// Voters and learners without `node`.
    pub(crate) fn others(&self, node: NodeId) -> impl Iterator<Item = NodeId> {
        let all = self.voters.iter().chain(&self.learners).copied();
        all.filter(move |other| *other != node)
    }
}

impl From<&VoterSet> for Configuration {
    fn from(set: &VoterSet) -> Self {
        let nodes = |ids: &[u64]| ids.iter().copied().map(NodeId).collect();
        Self {
            voters: nodes(&set.voters),
            learners: nodes(&set.learners),
        }
    }
}

impl From<&Configuration> for VoterSet {
    fn from(configuration: &Configuration) -> Self {
        let ids = |nodes: &BTreeSet<NodeId>| nodes.iter().map(|node| node.0).collect();
        Self {
            voters: ids(&configuration.voters),
            learners: ids(&configuration.learners),
        }
    }
}

/// A configuration and the index of its log entry, or of the snapshot that contains it; 0 for the
/// empty configuration of a new replica.
#[derive(Clone, Debug)]
pub(crate) struct IndexedConfiguration {
    pub(crate) index: u64,
    pub(crate) configuration: Configuration,
}

/// Configurations in the log since the snapshot.
///
/// The latest one is in force, committed or not (Raft thesis, section 4.1). A leader that waited
/// for the commit could count votes and acknowledgements by a configuration that the other replicas
/// have already replaced.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationHistory {
    /// In ascending order of index; never empty.
    items: Vec<IndexedConfiguration>,
}

impl ConfigurationHistory {
    /// Creates a history that starts with the configuration of a snapshot, or with the empty one at
    /// index 0.
    pub(crate) fn new(index: u64, configuration: Configuration) -> Self {
        let first = IndexedConfiguration {
            index,
            configuration,
        };
        Self { items: vec![first] }
    }

    /// Records an appended entry if it carries a configuration.
    pub(crate) fn record(&mut self, entry: &LogEntry) {
        if let Some(Payload::Voters(set)) = &entry.payload {
            self.items.push(IndexedConfiguration {
                index: entry.index,
                configuration: Configuration::from(set),
            });
        }
    }

    /// Removes the configurations from `index` on, whose entries were truncated.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        while self.items.len() > 1 && self.latest_index() >= index {
            self.items.pop();
        }
    }

    /// Removes configurations that were replaced at or before `index`.
    pub(crate) fn compact(&mut self, index: u64) {
        while self.items.len() > 1 && self.items[1].index <= index {
            self.items.remove(0);
        }
    }

    /// The configuration in force.
    pub(crate) fn latest(&self) -> &Configuration {
        &self.items[self.items.len() - 1].configuration
    }

    /// Index of the configuration in force.
    pub(crate) fn latest_index(&self) -> u64 {
        self.items[self.items.len() - 1].index
    }

    /// Whether any configuration of the history contains the node.
    pub(crate) fn ever_contained(&self, node: NodeId) -> bool {
        let mut items = self.items.iter();
        items.any(|item| item.configuration.contains(node))
    }

    /// The configuration in force at an index; the oldest one for an index before it.
    pub(crate) fn as_of(&self, index: u64) -> &IndexedConfiguration {
        let found = self.items.iter().rev().find(|item| item.index <= index);
        found.unwrap_or(&self.items[0])
    }
}
