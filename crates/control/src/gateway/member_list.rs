//! The replicated list of control nodes, as far as this node knows it.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::state::{ControlMember, StateItem, state_value};
use millford_control_state::keys;
use millford_core::{MonotonicTime, NodeId};

use crate::timing::{OPERATOR_REQUEST_TIMEOUT, REGISTRATION_PERIOD};

/// A change of the list of control nodes.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum MemberChange {
    /// The node is listed under these addresses.
    Listed(NodeId, ControlMember),
    /// The node is not listed any more.
    Unlisted(NodeId),
}

impl MemberChange {
    /// The change that a public item of the configuration shard stands for, if any.
    pub(super) fn of_item(item: &StateItem) -> Option<Self> {
        let number = item.key.strip_prefix(keys::CONTROL_PREFIX)?;
        let node = NodeId(u64::from_str_radix(number, 16).ok()?);
        let value = item.value.as_ref().and_then(|value| value.kind.as_ref());
        Some(match value {
            Some(state_value::Kind::ControlMember(member)) => Self::Listed(node, member.clone()),
            _ => Self::Unlisted(node),
        })
    }
}

/// Owner of what the configuration shard lists, and of the configuration for the other shards.
#[derive(Debug, Default)]
pub(super) struct MemberList {
    registered: BTreeMap<NodeId, ControlMember>,
    configuration: Vec<StateItem>,
    read_from_leader: bool,
    next_check: MonotonicTime,
}

impl MemberList {
    /// The configuration's items as last seen, for shards that start now.
    pub(super) fn configuration(&self) -> &[StateItem] {
        &self.configuration
    }

    /// Revision of the configuration that this node's replica has applied; 0 when unknown.
    pub(super) fn applied_revision(&self) -> u64 {
        let mut items = self.configuration.iter();
        let head = items.find(|item| item.key == keys::CONFIG_HEAD);
        let kind = head.and_then(|item| item.value.as_ref()?.kind.as_ref());
        match kind {
            Some(state_value::Kind::ConfigHead(head)) => head.revision,
            _ => 0,
        }
    }

    /// The nodes listed, in order of identity.
    pub(super) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.registered.keys().copied()
    }

    /// Whether the node is listed.
    pub(super) fn lists(&self, node: NodeId) -> bool {
        self.registered.contains_key(&node)
    }

    /// Whether the node is listed under exactly these addresses.
    pub(super) fn lists_as(&self, node: NodeId, member: &ControlMember) -> bool {
        self.registered.get(&node) == Some(member)
    }

    /// Whether the list was ever read from the leader.
    pub(super) fn was_read_from_leader(&self) -> bool {
        self.read_from_leader
    }

    /// The list was read from the leader.
    pub(super) fn set_read_from_leader(&mut self) {
        self.read_from_leader = true;
    }

    /// A node is listed.
    pub(super) fn insert(&mut self, node: NodeId, member: ControlMember) {
        self.registered.insert(node, member);
    }

    /// A node is not listed any more.
    pub(super) fn remove(&mut self, node: NodeId) {
        self.registered.remove(&node);
    }

    /// Checks at the next tick.
    pub(super) fn check_soon(&mut self, now: MonotonicTime) {
        self.next_check = now;
    }

    /// Whether to check that the cluster lists this node; if so, the next check is a period away.
    pub(super) fn take_check_due(&mut self, now: MonotonicTime) -> bool {
        if now < self.next_check {
            return false;
        }
        self.next_check = now + REGISTRATION_PERIOD;
        true
    }

    /// The registration of this node was requested: the next check gives the reply time to arrive.
    pub(super) fn registration_requested(&mut self, now: MonotonicTime) {
        self.next_check = now + OPERATOR_REQUEST_TIMEOUT;
    }

    /// The registration of this node was answered.
    pub(super) fn registration_answered(&mut self, now: MonotonicTime) {
        self.next_check = now + REGISTRATION_PERIOD;
    }

    /// Items of the configuration shard changed: those of the configuration are cached.
    pub(super) fn cache_configuration(&mut self, items: &[StateItem]) {
        let changed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        self.configuration
            .retain(|known| !changed.contains(known.key.as_str()));
        let present = items
            .iter()
            .filter(|item| item.value.is_some() && item.key.starts_with(keys::CONFIG_PREFIX));
        self.configuration.extend(present.cloned());
    }
}
