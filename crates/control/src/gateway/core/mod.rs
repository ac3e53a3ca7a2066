//! The gateway itself: routes inputs to its parts, and their outputs out of the node.
//!
//! The order of calls and outputs is part of the node's behaviour. The submodules group the
//! handlers by subject; none of them owns state.

mod formation;
mod frames;
mod handshakes;
mod membership;
mod operators;
mod requests;
mod sessions;
mod shard_outputs;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use millford_api::internal::frame;
use millford_api::state::ControlMember;
use millford_core::{MonotonicTime, NodeId, ShardId, ShardLayout};
use millford_membership::{Formation, MemberDirectory};
use millford_registry::RegistryView;
use millford_storage::{Disk, StorageError};

use super::agents::AgentTable;
use super::decommission::Decommission;
use super::dialer::Dialer;
use super::early_heartbeats::EarlyHeartbeats;
use super::input::{GatewayInput, GatewayOutput};
use super::leadership_balancer::LeadershipBalancer;
use super::links::LinkTable;
use super::member_list::MemberList;
use super::node_store::NodeStore;
use super::outbox::Outbox;
use super::own_session::OwnSession;
use super::pending_operator_requests::PendingOperatorRequests;
use super::pending_requests::PendingRequests;
use super::quota_relay::QuotaRelay;
use super::replica_table::ReplicaTable;
use crate::link::LinkId;
use crate::node_input::NodeInput;
use crate::node_output::NodeOutput;
use crate::options::ControlOptions;
use crate::shard::{MemberView, ShardInput, ShardReplicaStatus};
use crate::storage_code::storage_code;

/// The node-level half of a control node; the shards' cores are the other half.
pub struct Gateway {
    options: ControlOptions,
    /// Seeds as last read from the settings, beside those of the start.
    seeds: Vec<String>,
    store: NodeStore,
    /// Present until the node belongs to a cluster.
    formation: Option<Formation>,
    /// Present after the cluster removed this node's identity.
    decommission: Option<Decommission>,
    directory: MemberDirectory,
    /// Control nodes that announced their shutdown and have not come back since.
    leaving_members: BTreeSet<NodeId>,
    members: MemberList,
    /// The control nodes as last sent to the shards.
    view: MemberView,
    links: LinkTable,
    dialer: Dialer,
    replicas: ReplicaTable,
    balancer: LeadershipBalancer,
    pending: PendingRequests,
    quota: QuotaRelay,
    agents: AgentTable,
    early_heartbeats: EarlyHeartbeats,
    own_session: OwnSession,
    next_renewal: MonotonicTime,
    operator_requests: PendingOperatorRequests,
    /// The service registry as last read.
    registry: Option<Arc<RegistryView>>,
    outbox: Outbox,
}

impl Gateway {
    /// Reads the node's file, or creates an identity if the disk has no valid one. The returned
    /// outputs start the shards that the node holds.
    ///
    /// # Errors
    /// The disk cannot be read, or a new identity cannot be written.
    pub fn open(
        options: ControlOptions,
        disk: Box<dyn Disk>,
        now: MonotonicTime,
    ) -> Result<(Self, Vec<GatewayOutput>), StorageError> {
        let (mut store, origin) = NodeStore::open(disk, options.seed)?;
        let own_session = OwnSession::new(store.random_id());
        let mut gateway = Self {
            options,
            seeds: Vec::new(),
            store,
            formation: None,
            decommission: None,
            directory: MemberDirectory::default(),
            leaving_members: BTreeSet::new(),
            members: MemberList::default(),
            view: MemberView::default(),
            links: LinkTable::default(),
            dialer: Dialer::default(),
            replicas: ReplicaTable::default(),
            balancer: LeadershipBalancer::new(now),
            pending: PendingRequests::default(),
            quota: QuotaRelay::default(),
            agents: AgentTable::default(),
            early_heartbeats: EarlyHeartbeats::new(now),
            own_session,
            next_renewal: now,
            operator_requests: PendingOperatorRequests::default(),
            registry: None,
            outbox: Outbox::default(),
        };
        gateway.start(origin)?;
        let outputs = gateway.outbox.take();
        Ok((gateway, outputs))
    }

    /// Handles one input and returns the outputs, in order.
    pub fn handle(&mut self, now: MonotonicTime, input: GatewayInput) -> Vec<GatewayOutput> {
        match input {
            GatewayInput::Node(input) => self.handle_node(now, input),
            GatewayInput::Shard { shard, output } => self.handle_shard(now, shard, output),
            GatewayInput::StorageCorrupt => self.start_over(now),
        }
        self.send_due(now);
        self.outbox.take()
    }

    /// Identity of this node.
    #[must_use]
    pub fn identity(&self) -> NodeId {
        self.store.identity()
    }

    /// Identity of the node's cluster; 0 before the node formed or joined one.
    #[must_use]
    pub fn cluster_id(&self) -> u64 {
        self.store.file().cluster_id
    }

    /// Status of each replica that this node holds.
    #[must_use]
    pub fn replica_statuses(&self) -> &BTreeMap<ShardId, ShardReplicaStatus> {
        self.replicas.statuses()
    }

    /// Whether agents can be served: this node holds a replica of every shard, the configuration
    /// shard has its quorum, and no core is stalled.
    #[must_use]
    pub fn has_quorum(&self) -> bool {
        self.store.is_formed() && self.replicas.serves_all(self.shard_count())
    }

    /// Number of requests in flight to the leaders of shards.
    #[must_use]
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    fn handle_node(&mut self, now: MonotonicTime, input: NodeInput) {
        match input {
            NodeInput::Frame { link, frame } => self.handle_frame(now, link, frame),
            NodeInput::LinkOpened { link, .. } => self.link_opened(now, link),
            NodeInput::LinkClosed { link } => self.link_closed(now, link),
            NodeInput::Operator { request, body } => self.handle_operator(now, request, body),
            NodeInput::Registry(view) => {
                self.registry = Some(view.clone());
                self.send_to_every_shard(&ShardInput::Registry(view));
            }
            NodeInput::Seeds(seeds) => self.seeds = seeds,
            NodeInput::Tick => self.tick(now),
            NodeInput::Shutdown => self.leave(now),
        }
    }

    /// Announces the shutdown to the other control nodes, and transfers leaderships.
    fn leave(&mut self, now: MonotonicTime) {
        self.leaving_members.insert(self.store.identity());
        self.dialer.schedule_hellos(now);
        self.tick_dialer(now);
        self.push_member_view(now);
        self.send_to_every_shard(&ShardInput::Shutdown);
    }

    fn tick(&mut self, now: MonotonicTime) {
        self.replicas.tick(now);
        self.tick_dialer(now);
        self.tick_formation(now);
        self.tick_member_list(now);
        self.tick_decommission(now);
        self.answer_early_heartbeats(now);
        self.tick_sessions(now);
        self.push_member_view(now);
        self.balance_leaderships(now);
        self.complete_overdue(now);
        self.quota.expire(now);
    }

    /// Transfers one leadership if this node leads clearly more shards than another.
    fn balance_leaderships(&mut self, now: MonotonicTime) {
        let own = self.store.identity();
        let view = &self.view;
        let is_connected = |node: NodeId| view.get(node).connected;
        let transfer = self
            .balancer
            .next_transfer(now, own, &self.replicas, is_connected);
        // A removed node transfers all of its leaderships, which `begin_decommission` starts.
        let transfer = transfer.filter(|_| self.decommission.is_none());
        if let Some(transfer) = transfer {
            let input = ShardInput::TransferLeadership { to: transfer.to };
            self.outbox.send_to_shard(transfer.shard, input);
        }
    }

    fn link_opened(&mut self, now: MonotonicTime, link: LinkId) {
        self.links.open(link);
        if link.is_outgoing() {
            self.dialer.opened(now, link);
            self.send_hello(link);
        }
    }

    fn link_closed(&mut self, now: MonotonicTime, link: LinkId) {
        self.links.close(link);
        self.pending.forget_link(link);
        self.quota.forget_link(link);
        self.agents.forget_link(link);
        self.early_heartbeats.forget_link(link);
        self.send_to_every_shard(&ShardInput::Unsubscribe { subscriber: link });
        let address = self.dialer.closed(now, link);
        if let (Some(formation), Some(address)) = (&mut self.formation, address) {
            formation.record_disconnect(&address);
        }
    }

    fn layout(&self) -> ShardLayout {
        self.store.layout()
    }

    fn shard_count(&self) -> usize {
        self.layout().all().count()
    }

    fn own_member(&self) -> ControlMember {
        ControlMember {
            node_id: self.store.file().node_id,
            internal_address: self.options.internal_address.clone(),
            operator_address: self.options.operator_address.clone(),
            zone: self.options.zone.clone(),
        }
    }

    /// Sends a frame to a control node if a link to it is open. Returns whether it was sent.
    fn send_to_node(&mut self, node: NodeId, body: frame::Body) -> bool {
        let Some(link) = self.links.to_node(node) else {
            return false;
        };
        self.outbox.send(link, body);
        true
    }

    fn send_to_every_node(&mut self, body: &frame::Body) {
        let nodes: Vec<NodeId> = self.links.nodes().collect();
        for node in nodes {
            self.send_to_node(node, body.clone());
        }
    }

    fn send_to_every_shard(&mut self, input: &ShardInput) {
        for shard in self.replicas.shards() {
            self.outbox.send_to_shard(shard, input.clone());
        }
    }

    /// Returns whether the node's file was stored. If not, the process exits, because the node
    /// could not keep the guarantees that depend on the file.
    fn require_saved(&mut self, saved: &Result<(), StorageError>) -> bool {
        if let Err(error) = saved {
            let code = storage_code(error);
            self.outbox.emit(NodeOutput::Fatal { code });
        }
        saved.is_ok()
    }
}
