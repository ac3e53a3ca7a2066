//! The replicated list of control nodes, as far as this node knows it.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::command::{Command, RegisterControlMember, command};
use millford_api::internal::{ReadState, StateSnapshot, shard_request};
use millford_api::state::{ControlMember, StateItem, state_value};
use millford_control_state::keys;
use millford_core::{MonotonicTime, NodeId, ShardId};

use super::Gateway;
use super::pending::Origin;
use super::sessions::request_to;
use crate::shard::{MemberStanding, MemberView, ShardInput};
use crate::timing::{OPERATOR_PATIENCE, REGISTRATION_PERIOD};

/// What the configuration shard lists, and the configuration for the other shards.
#[derive(Debug, Default)]
pub struct MemberList {
    registered: BTreeMap<NodeId, ControlMember>,
    configuration: Vec<StateItem>,
    read_from_leader: bool,
    next_check: MonotonicTime,
}

impl MemberList {
    /// The configuration's items as last seen, for shards that start now.
    #[must_use]
    pub fn configuration(&self) -> &[StateItem] {
        &self.configuration
    }

    /// Number of the configuration that this node's replica shows; 0 when unknown.
    #[must_use]
    pub fn applied_revision(&self) -> u64 {
        let mut items = self.configuration.iter();
        let head = items.find(|item| item.key == keys::CONFIG_HEAD);
        let kind = head.and_then(|item| item.value.as_ref()?.kind.as_ref());
        match kind {
            Some(state_value::Kind::ConfigHead(head)) => head.revision,
            _ => 0,
        }
    }

    /// Checks at the next tick.
    pub fn check_soon(&mut self, now: MonotonicTime) {
        self.next_check = now;
    }

    fn keep_configuration(&mut self, items: &[StateItem]) {
        let changed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        self.configuration
            .retain(|known| !changed.contains(known.key.as_str()));
        let present = items
            .iter()
            .filter(|item| item.value.is_some() && item.key.starts_with(keys::CONFIG_PREFIX));
        self.configuration.extend(present.cloned());
    }
}

impl Gateway {
    /// Makes sure that the cluster lists this node under its present addresses.
    pub(super) fn tick_member_list(&mut self, now: MonotonicTime) {
        if !self.file.is_formed() || self.leaving.is_some() || now < self.members.next_check {
            return;
        }
        self.members.next_check = now + REGISTRATION_PERIOD;
        let own = self.own_member();
        let listed = self.members.registered.get(&self.file.identity()) == Some(&own);
        let holds_list = self.standings.contains_key(&ShardId::CONFIGURATION);
        if !holds_list {
            // Without a replica of the list, the leader is asked.
            let read = shard_request::Kind::ReadState(ReadState {
                key_prefix: keys::CONTROL_PREFIX.to_owned(),
                with_source: false,
            });
            self.submit(
                now,
                Origin::MemberList,
                request_to(ShardId::CONFIGURATION, read),
                REGISTRATION_PERIOD,
            );
        }
        if !listed && self.knows_member_list() {
            self.register(now, own);
        }
    }

    /// Whether the list that this node has is the present one. Until then it may have been removed
    /// from it without knowing, and must not put itself back.
    fn knows_member_list(&self) -> bool {
        match self.standings.get(&ShardId::CONFIGURATION) {
            Some(standing) => standing.in_touch,
            None => self.members.read_from_leader,
        }
    }

    /// Items of a shard changed in this node's replica.
    pub(super) fn public_change(
        &mut self,
        now: MonotonicTime,
        shard: ShardId,
        items: Vec<StateItem>,
    ) {
        if shard != ShardId::CONFIGURATION {
            return;
        }
        for item in &items {
            self.control_item(now, item);
        }
        self.keep_directory();
        self.members.keep_configuration(&items);
        let configuration: Vec<StateItem> = items
            .into_iter()
            .filter(|item| item.key.starts_with(keys::CONFIG_PREFIX))
            .collect();
        if !configuration.is_empty() {
            self.tell_every_shard(&ShardInput::Configuration(configuration));
        }
    }

    /// The leader's list, on a node without a replica of it.
    pub(super) fn member_list_read(&mut self, now: MonotonicTime, state: &StateSnapshot) {
        self.members.read_from_leader = true;
        for item in &state.items {
            self.control_item(now, item);
        }
        self.keep_directory();
    }

    /// Tells every shard's leader which nodes are there.
    pub(super) fn push_member_view(&mut self, now: MonotonicTime) {
        if !self.file.is_formed() {
            return;
        }
        let view = self.member_view(now);
        if view == self.view {
            return;
        }
        self.view = view.clone();
        self.tell_every_shard(&ShardInput::Members(view));
    }

    fn register(&mut self, now: MonotonicTime, own: ControlMember) {
        let command = Command {
            kind: Some(command::Kind::RegisterControlMember(
                RegisterControlMember { member: Some(own) },
            )),
        };
        let kind = shard_request::Kind::Propose(command);
        let request = request_to(ShardId::CONFIGURATION, kind);
        self.submit(now, Origin::Registration, request, OPERATOR_PATIENCE);
        // The next check leaves the answer time to arrive.
        self.members.next_check = now + OPERATOR_PATIENCE;
    }

    /// The registration of this node was answered.
    pub(super) fn registration_answered(&mut self, now: MonotonicTime) {
        self.members.next_check = now + REGISTRATION_PERIOD;
    }

    fn control_item(&mut self, now: MonotonicTime, item: &StateItem) {
        let Some(number) = item.key.strip_prefix(keys::CONTROL_PREFIX) else {
            return;
        };
        let Ok(number) = u64::from_str_radix(number, 16) else {
            return;
        };
        let node = NodeId(number);
        let value = item.value.as_ref().and_then(|value| value.kind.as_ref());
        match value {
            Some(state_value::Kind::ControlMember(member)) => self.member_listed(node, member),
            _ => self.member_unlisted(now, node),
        }
    }

    fn member_listed(&mut self, node: NodeId, member: &ControlMember) {
        self.members.registered.insert(node, member.clone());
        if node != self.file.identity() {
            self.directory.introduce(member);
        }
    }

    fn member_unlisted(&mut self, now: MonotonicTime, node: NodeId) {
        self.members.registered.remove(&node);
        if node == self.file.identity() {
            self.begin_leaving(now);
            return;
        }
        self.directory.remove(node);
        if !self.file.removed.contains(&node.0) {
            self.file.removed.push(node.0);
            self.save_file();
        }
    }

    fn member_view(&self, now: MonotonicTime) -> MemberView {
        let listed = self.members.registered.keys().copied();
        let known = self.directory.iter().map(|member| NodeId(member.node_id));
        let removed = self.file.removed.iter().copied().map(NodeId);
        let own = self.file.identity();
        let mut view = MemberView::default();
        for node in listed.chain(known).chain(removed).chain([own]) {
            let connected = node == own || self.dialer.is_connected(now, node);
            let standing = MemberStanding {
                registered: self.members.registered.contains_key(&node),
                connected,
                removed: self.directory.is_removed(node),
            };
            view.members.insert(node, standing);
        }
        view
    }
}
