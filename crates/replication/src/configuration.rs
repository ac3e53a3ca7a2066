//! Configurations of a group: who votes, who only receives.

use std::collections::BTreeSet;

use millford_api::replication::{LogEntry, VoterSet, log_entry::Payload};
use millford_core::NodeId;

/// Voters and learners of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    pub voters: BTreeSet<NodeId>,
    pub learners: BTreeSet<NodeId>,
}

impl Configuration {
    /// Voters of a quorum: more than half.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters that satisfy `holds` are a quorum. Never true without voters.
    pub fn is_quorum(&self, holds: impl Fn(NodeId) -> bool) -> bool {
        let count = self.voters.iter().filter(|voter| holds(**voter)).count();
        count >= self.quorum()
    }

    /// The highest value that a quorum has reached; 0 without voters.
    pub fn quorum_value(&self, value: impl Fn(NodeId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.iter().map(|voter| value(*voter)).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Whether the node votes.
    pub fn is_voter(&self, node: NodeId) -> bool {
        self.voters.contains(&node)
    }

    /// Whether the node votes or learns.
    pub fn contains(&self, node: NodeId) -> bool {
        self.is_voter(node) || self.learners.contains(&node)
    }

    /// Every node but `node`.
    pub fn others(&self, node: NodeId) -> impl Iterator<Item = NodeId> {
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

/// A configuration and the log index that set it.
#[derive(Clone, Debug)]
pub struct IndexedConfiguration {
    pub index: u64,
    pub configuration: Configuration,
}

/// Configurations of the log since the snapshot. The latest one is in force, committed or not.
#[derive(Clone, Debug)]
pub struct ConfigurationHistory {
    /// Ordered by index; never empty.
    items: Vec<IndexedConfiguration>,
}

impl ConfigurationHistory {
    /// Starts with the configuration of a snapshot, or the empty one at index 0.
    pub fn new(index: u64, configuration: Configuration) -> Self {
        let first = IndexedConfiguration {
            index,
            configuration,
        };
        Self { items: vec![first] }
    }

    /// Notes an appended entry if it carries a configuration.
    pub fn note(&mut self, entry: &LogEntry) {
        if let Some(Payload::Voters(set)) = &entry.payload {
            self.items.push(IndexedConfiguration {
                index: entry.index,
                configuration: Configuration::from(set),
            });
        }
    }

    /// Forgets the configurations from `index` on, which were truncated.
    pub fn truncate_from(&mut self, index: u64) {
        while self.items.len() > 1 && self.latest_index() >= index {
            self.items.pop();
        }
    }

    /// Forgets configurations that were replaced before or at `index`.
    pub fn compact(&mut self, index: u64) {
        while self.items.len() > 1 && self.items[1].index <= index {
            self.items.remove(0);
        }
    }

    /// The configuration in force.
    pub fn latest(&self) -> &Configuration {
        &self.items[self.items.len() - 1].configuration
    }

    /// Index of the configuration in force.
    pub fn latest_index(&self) -> u64 {
        self.items[self.items.len() - 1].index
    }

    /// Whether the node was a member in any configuration that is still known.
    pub fn ever_contained(&self, node: NodeId) -> bool {
        let mut items = self.items.iter();
        items.any(|item| item.configuration.contains(node))
    }

    /// The configuration as of an index.
    pub fn as_of(&self, index: u64) -> &IndexedConfiguration {
        let found = self.items.iter().rev().find(|item| item.index <= index);
        found.unwrap_or(&self.items[0])
    }
}
