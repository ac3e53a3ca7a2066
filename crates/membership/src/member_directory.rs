//! Directory of the control nodes and their addresses.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::state::ControlMember;
use millford_core::NodeId;

/// Control nodes by identity, from seeds, handshakes and the replicated membership.
///
/// An address belongs to one identity only: a node whose disk was wiped returns with a new identity, and
/// connections to the old identity must no longer go to that address.
#[derive(Clone, Debug, Default)]
pub struct MemberDirectory {
    members: BTreeMap<NodeId, ControlMember>,
    /// Identities that the cluster removed; they are never added again.
    removed: BTreeSet<NodeId>,
}

impl MemberDirectory {
    /// Adds or updates a node from its own report and removes any other identity at its address. An unset
    /// or removed identity is ignored. Returns whether the directory changed.
    pub fn introduce(&mut self, member: &ControlMember) -> bool {
        let identity = NodeId(member.node_id);
        if !identity.is_some() || self.removed.contains(&identity) {
            return false;
        }
        if self.members.get(&identity) == Some(member) {
            return false;
        }
        self.remove_others_at_address(&member.internal_address, identity);
        self.members.insert(identity, member.clone());
        true
    }

    /// Adds a node that another node reported, unless its identity or its address is already listed: a
    /// node's own report takes precedence. Returns whether the directory changed.
    pub fn add_reported(&mut self, member: &ControlMember) -> bool {
        let identity = NodeId(member.node_id);
        let known = self.members.contains_key(&identity);
        let address_taken = self.at_address(&member.internal_address).is_some();
        if known || address_taken {
            return false;
        }
        self.introduce(member)
    }

    /// Removes an identity permanently. Returns whether it was listed.
    pub fn remove(&mut self, identity: NodeId) -> bool {
        self.removed.insert(identity);
        self.members.remove(&identity).is_some()
    }

    /// Returns whether the cluster removed this identity.
    #[must_use]
    pub fn is_removed(&self, identity: NodeId) -> bool {
        self.removed.contains(&identity)
    }

    /// Returns the node with this identity, if it is listed.
    #[must_use]
    pub fn get(&self, identity: NodeId) -> Option<&ControlMember> {
        self.members.get(&identity)
    }

    /// Returns the identity that is listed with this internal address.
    #[must_use]
    pub fn at_address(&self, address: &str) -> Option<NodeId> {
        let mut entries = self.members.iter();
        entries
            .find(|(_, member)| member.internal_address == address)
            .map(|(identity, _)| *identity)
    }

    /// Iterates over all nodes, in the order of their identities.
    pub fn iter(&self) -> impl Iterator<Item = &ControlMember> {
        self.members.values()
    }

    /// Copies all nodes, in the order of their identities, for a message or a file.
    #[must_use]
    pub fn to_vec(&self) -> Vec<ControlMember> {
        self.members.values().cloned().collect()
    }

    /// Returns the number of listed nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no node is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn remove_others_at_address(&mut self, address: &str, keep: NodeId) {
        self.members
            .retain(|identity, member| *identity == keep || member.internal_address != address);
    }
}
