//! The replicated list of control nodes: this node's registration in it, and its changes.

use millford_api::command::{RegisterControlMember, command};
use millford_api::internal::{ReadState, StateSnapshot, shard_request};
use millford_api::state::{ControlMember, StateItem};
use millford_control_state::keys;
use millford_core::{MonotonicTime, NodeId, ShardId};

use super::Gateway;
use crate::commands::command_of;
use crate::gateway::member_list::MemberChange;
use crate::gateway::pending_requests::{Origin, request_to};
use crate::shard::{Departure, MemberStatus, MemberView, ShardInput};
use crate::timing::{OPERATOR_REQUEST_TIMEOUT, REGISTRATION_PERIOD};

impl Gateway {
    /// Registers this node if the list lacks it or has other addresses for it.
    pub(super) fn tick_member_list(&mut self, now: MonotonicTime) {
        let is_member = self.store.is_formed() && self.decommission.is_none();
        if !is_member || !self.members.take_check_due(now) {
            return;
        }
        let own = self.own_member();
        let listed = self.members.lists_as(self.store.identity(), &own);
        if !self.replicas.holds(ShardId::CONFIGURATION) {
            self.read_member_list(now);
        }
        if !listed && self.has_current_member_list() {
            self.register(now, own);
        }
    }

    /// Requests the list from the leader of the configuration shard, for a node without a replica
    /// of it.
    fn read_member_list(&mut self, now: MonotonicTime) {
        let read = shard_request::Kind::ReadState(ReadState {
            key_prefix: keys::CONTROL_PREFIX.to_owned(),
            with_source: false,
        });
        let request = request_to(ShardId::CONFIGURATION, read);
        self.pending
            .submit(now, Origin::MemberList, request, REGISTRATION_PERIOD);
    }

    /// Whether this node's copy of the list is current. With an outdated copy, the node may have
    /// been removed from the list without having learned of it, and must not register again.
    fn has_current_member_list(&self) -> bool {
        match self.replicas.get(ShardId::CONFIGURATION) {
            Some(replica) => replica.has_quorum,
            None => self.members.was_read_from_leader(),
        }
    }

    fn register(&mut self, now: MonotonicTime, own: ControlMember) {
        let register = RegisterControlMember { member: Some(own) };
        let command = command_of(command::Kind::RegisterControlMember(register));
        let kind = shard_request::Kind::Propose(command);
        let request = request_to(ShardId::CONFIGURATION, kind);
        self.pending
            .submit(now, Origin::Registration, request, OPERATOR_REQUEST_TIMEOUT);
        self.members.registration_requested(now);
    }

    /// Handles changed public items in this node's replica of a shard.
    pub(super) fn public_change(
        &mut self,
        now: MonotonicTime,
        shard: ShardId,
        items: Vec<StateItem>,
    ) {
        if shard != ShardId::CONFIGURATION {
            return;
        }
        self.apply_member_changes(now, &items);
        self.members.cache_configuration(&items);
        let configuration: Vec<StateItem> = items
            .into_iter()
            .filter(|item| item.key.starts_with(keys::CONFIG_PREFIX))
            .collect();
        if !configuration.is_empty() {
            self.send_to_every_shard(&ShardInput::Configuration(configuration));
        }
    }

    /// Applies the list read from the leader, on a node without a replica of it.
    pub(super) fn member_list_read(&mut self, now: MonotonicTime, state: &StateSnapshot) {
        self.members.set_read_from_leader();
        self.apply_member_changes(now, &state.items);
    }

    fn apply_member_changes(&mut self, now: MonotonicTime, items: &[StateItem]) {
        for change in items.iter().filter_map(MemberChange::of_item) {
            match change {
                MemberChange::Listed(node, member) => self.member_listed(node, member),
                MemberChange::Unlisted(node) => self.member_unlisted(now, node),
            }
        }
        self.persist_directory();
    }

    fn member_listed(&mut self, node: NodeId, member: ControlMember) {
        if node != self.store.identity() {
            self.directory.introduce(&member);
        }
        self.members.insert(node, member);
    }

    fn member_unlisted(&mut self, now: MonotonicTime, node: NodeId) {
        self.members.remove(node);
        if node == self.store.identity() {
            self.begin_decommission(now);
            return;
        }
        self.directory.remove(node);
        let saved = self.store.add_removed(node);
        self.require_saved(&saved);
    }

    /// Sends the view of the control nodes to every shard on this node if it changed.
    pub(super) fn push_member_view(&mut self, now: MonotonicTime) {
        if !self.store.is_formed() {
            return;
        }
        let view = self.member_view(now);
        if view == self.view {
            return;
        }
        self.view = view.clone();
        self.send_to_every_shard(&ShardInput::Members(view));
    }

    fn departure_of(&self, node: NodeId) -> Departure {
        if self.directory.is_removed(node) {
            Departure::Removed
        } else if self.leaving_members.contains(&node) {
            Departure::Announced
        } else {
            Departure::None
        }
    }

    fn member_view(&self, now: MonotonicTime) -> MemberView {
        let listed = self.members.nodes();
        let known = self.directory.iter().map(|member| NodeId(member.node_id));
        let removed = self.store.file().removed.iter().copied().map(NodeId);
        let own = self.store.identity();
        let mut view = MemberView::default();
        for node in listed.chain(known).chain(removed).chain([own]) {
            let member = MemberStatus {
                registered: self.members.lists(node),
                connected: node == own || self.dialer.is_connected(now, node),
                departure: self.departure_of(node),
            };
            view.members.insert(node, member);
        }
        view
    }
}
