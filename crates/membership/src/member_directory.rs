//! Control nodes that this process knows, with their addresses.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::state::ControlMember;
use millford_core::NodeId;

/// Known control nodes by identity, learned from seeds, handshakes and the replicated membership.
///
/// One address belongs to one identity: a machine whose disk was wiped comes back under a new
/// identity, and the old one must not be dialled there any more.
#[derive(Clone, Debug, Default)]
pub struct MemberDirectory {
    members: BTreeMap<NodeId, ControlMember>,
    removed: BTreeSet<NodeId>,
}

impl MemberDirectory {
    /// Records a node that introduced itself. Returns whether anything changed.
    pub fn introduce(&mut self, member: &ControlMember) -> bool {
        let identity = NodeId(member.node_id);
        if !identity.is_some() || self.removed.contains(&identity) {
            return false;
        }
        if self.members.get(&identity) == Some(member) {
            return false;
        }
        self.forget_address(&member.internal_address, identity);
        self.members.insert(identity, member.clone());
        true
    }

    /// Records a node that another one reported. What a node reported about itself takes precedence.
    /// Returns whether anything changed.
    pub fn learn_of(&mut self, member: &ControlMember) -> bool {
        let identity = NodeId(member.node_id);
        let known = self.members.contains_key(&identity);
        let address_taken = self.at_address(&member.internal_address).is_some();
        if known || address_taken {
            return false;
        }
        self.introduce(member)
    }

    /// The cluster removed this identity for good. Returns whether it was known.
    pub fn remove(&mut self, identity: NodeId) -> bool {
        self.removed.insert(identity);
        self.members.remove(&identity).is_some()
    }

    /// Whether the cluster removed this identity.
    #[must_use]
    pub fn is_removed(&self, identity: NodeId) -> bool {
        self.removed.contains(&identity)
    }

    /// The node with this identity.
    #[must_use]
    pub fn get(&self, identity: NodeId) -> Option<&ControlMember> {
        self.members.get(&identity)
    }

    /// Identity that was last known at this internal address.
    #[must_use]
    pub fn at_address(&self, address: &str) -> Option<NodeId> {
        let mut entries = self.members.iter();
        entries
            .find(|(_, member)| member.internal_address == address)
            .map(|(identity, _)| *identity)
    }

    /// Every known node, in order of identity.
    pub fn iter(&self) -> impl Iterator<Item = &ControlMember> {
        self.members.values()
    }

    /// Every known node, for a message or a file.
    #[must_use]
    pub fn to_vec(&self) -> Vec<ControlMember> {
        self.members.values().cloned().collect()
    }

    /// Number of known nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn forget_address(&mut self, address: &str, keep: NodeId) {
        self.members
            .retain(|identity, member| *identity == keep || member.internal_address != address);
    }
}
