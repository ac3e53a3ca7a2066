//! The view of the control nodes on which a shard's leader bases repair.

use std::collections::BTreeMap;

use millford_core::NodeId;

/// Whether a control node leaves the cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Departure {
    /// It stays.
    #[default]
    None,
    /// It announced that it shuts down, and has not come back since.
    Announced,
    /// The cluster has permanently removed its identity.
    Removed,
}

/// Status of one control node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the configuration shard lists the node.
    pub registered: bool,
    /// Whether this node is connected to it.
    pub connected: bool,
    /// Whether the node leaves the cluster.
    pub departure: Departure,
}

impl MemberStatus {
    fn can_hold_replicas(self) -> bool {
        self.registered && self.connected && self.departure == Departure::None
    }
}

/// The status of every control node, this node included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Status by identity.
    pub members: BTreeMap<NodeId, MemberStatus>,
}

impl MemberView {
    /// Status of a node. An unknown node is neither registered nor connected.
    #[must_use]
    pub fn get(&self, node: NodeId) -> MemberStatus {
        self.members.get(&node).copied().unwrap_or_default()
    }

    /// Nodes that can hold a new replica, in order of identity.
    pub fn candidates(&self) -> impl Iterator<Item = NodeId> {
        self.members
            .iter()
            .filter(|(_, member)| member.can_hold_replicas())
            .map(|(node, _)| *node)
    }
}
