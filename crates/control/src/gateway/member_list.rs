//! This node's copy of the replicated list of control nodes.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::state::{ControlMember, StateItem, state_value};
use millford_control_state::keys;
use millford_core::{MonotonicTime, NodeId};

use crate::timing::{OPERATOR_REQUEST_TIMEOUT, REGISTRATION_PERIOD};

/// One change of the list of control nodes.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum MemberChange {
    /// The node was added, or its entry changed to this one.
    Listed(NodeId, ControlMember),
    /// The node was removed from the list.
    Unlisted(NodeId),
}

impl MemberChange {
    /// Reads the change from a changed item of the configuration shard; none if the item is not an
    /// entry of the list.
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

/// Owns the copy of the list, and the cached configuration for the data shards.
#[derive(Debug, Default)]
pub(super) struct MemberList {
    registered: BTreeMap<NodeId, ControlMember>,
    configuration: Vec<StateItem>,
    read_from_leader: bool,
    next_check: MonotonicTime,
}

impl MemberList {
    /// The cached items of the configuration, for shards that are started.
    pub(super) fn configuration(&self) -> &[StateItem] {
        &self.configuration
    }

    /// Revision of the configuration that this node's replica has applied; 0 if unknown.
    pub(super) fn applied_revision(&self) -> u64 {
        let mut items = self.configuration.iter();
        let head = items.find(|item| item.key == keys::CONFIG_HEAD);
        let kind = head.and_then(|item| item.value.as_ref()?.kind.as_ref());
        match kind {
            Some(state_value::Kind::ConfigHead(head)) => head.revision,
            _ => 0,
        }
    }

    /// The listed nodes, in order of identity.
    pub(super) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.registered.keys().copied()
    }

    /// Whether the node is listed.
    pub(super) fn lists(&self, node: NodeId) -> bool {
        self.registered.contains_key(&node)
    }

    /// Whether the node is listed with exactly this entry.
    pub(super) fn lists_as(&self, node: NodeId, member: &ControlMember) -> bool {
        self.registered.get(&node) == Some(member)
    }

    /// Whether the list has been read from the leader at least once.
    pub(super) fn was_read_from_leader(&self) -> bool {
        self.read_from_leader
    }

    /// Records that the list was read from the leader.
    pub(super) fn set_read_from_leader(&mut self) {
        self.read_from_leader = true;
    }

    /// Adds a node or replaces its entry.
    pub(super) fn insert(&mut self, node: NodeId, member: ControlMember) {
        self.registered.insert(node, member);
    }

    /// Removes a node.
    pub(super) fn remove(&mut self, node: NodeId) {
        self.registered.remove(&node);
    }

    /// Makes the check of this node's registration due at the next tick.
    pub(super) fn check_soon(&mut self, now: MonotonicTime) {
        self.next_check = now;
    }

    /// Whether the check of this node's registration is due; if so, schedules the next one.
    pub(super) fn take_check_due(&mut self, now: MonotonicTime) -> bool {
        if now < self.next_check {
            return false;
        }
        self.next_check = now + REGISTRATION_PERIOD;
        true
    }

    /// Delays the next check until the reply to a registration must have arrived.
    pub(super) fn registration_requested(&mut self, now: MonotonicTime) {
        self.next_check = now + OPERATOR_REQUEST_TIMEOUT;
    }

    /// Schedules the next check after the reply to a registration.
    pub(super) fn registration_answered(&mut self, now: MonotonicTime) {
        self.next_check = now + REGISTRATION_PERIOD;
    }

    /// Updates the cached configuration with changed items of the configuration shard.
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
