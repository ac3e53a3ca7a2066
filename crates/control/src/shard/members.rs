//! The control nodes as a shard's leader needs to know them for repair.

use std::collections::BTreeMap;

use millford_core::NodeId;

/// One control node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberStatus {
    /// The configuration shard lists it.
    pub registered: bool,
    /// This node is connected to it.
    pub connected: bool,
    /// The cluster removed this identity for good.
    pub removed: bool,
}

/// Every control node by identity, this node included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// The nodes.
    pub members: BTreeMap<NodeId, MemberStatus>,
}

impl MemberView {
    /// Status of a node; unknown nodes are neither registered nor connected.
    #[must_use]
    pub fn get(&self, node: NodeId) -> MemberStatus {
        self.members.get(&node).copied().unwrap_or_default()
    }

    /// Nodes that could take a lost replica's place, in order of identity.
    pub fn candidates(&self) -> impl Iterator<Item = NodeId> {
        self.members
            .iter()
            .filter(|(_, member)| member.registered && member.connected && !member.removed)
            .map(|(node, _)| *node)
    }
}
