//! The node-level half of a control node: links, greetings, formation, forwarding, operators.
//!
//! It holds no replicated state of its own. It talks with the shards' cores in messages only, so
//! that each can run on a thread of its own.

pub mod agents;
pub mod balance;
pub mod cluster;
pub mod dialer;
pub mod early_heartbeats;
pub mod feeds;
pub mod frames;
pub mod handshakes;
pub mod input;
pub mod links;
pub mod member_list;
pub mod node_file;
pub mod operator_answers;
pub mod operators;
pub mod pending;
pub mod pending_operator_requests;
pub mod requests;
pub mod sessions;
pub mod stall_detector;

use std::collections::BTreeMap;
use std::sync::Arc;

use millford_api::internal::{Frame, frame};
use millford_api::state::ControlMember;
use millford_core::{MonotonicTime, NodeId, ResultCode, ShardId, ShardLayout};
use millford_membership::{Formation, MemberDirectory};
use millford_registry::RegistryView;
use millford_storage::{Disk, StorageError};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

use crate::link::LinkId;
use crate::node_input::NodeInput;
use crate::node_output::{NodeEvent, NodeOutput};
use crate::options::ControlOptions;
use crate::shard::{MemberView, ShardInput, ShardReplicaStatus};
use agents::AgentTable;
use balance::Balance;
use cluster::Decommission;
use dialer::Dialer;
use early_heartbeats::EarlyHeartbeats;
use links::LinkTable;
use member_list::MemberList;
use node_file::NodeFile;
use pending::PendingRequests;
use pending_operator_requests::PendingOperatorRequests;
use requests::QuotaRelay;
use sessions::OwnSession;
use stall_detector::StallDetector;

pub use input::{GatewayInput, GatewayOutput};

/// The node-level half of a control node.
pub struct Gateway {
    options: ControlOptions,
    random: StdRng,
    disk: Box<dyn Disk>,
    file: NodeFile,
    formation: Option<Formation>,
    decommission: Option<Decommission>,
    directory: MemberDirectory,
    members: MemberList,
    links: LinkTable,
    dialer: Dialer,
    replica_statuses: BTreeMap<ShardId, ShardReplicaStatus>,
    stall_detector: StallDetector,
    pending: PendingRequests,
    quota: QuotaRelay,
    agents: AgentTable,
    early_heartbeats: EarlyHeartbeats,
    own_session: OwnSession,
    operator_requests: PendingOperatorRequests,
    view: MemberView,
    /// The service registry as last read.
    registry: Option<Arc<RegistryView>>,
    balance: Balance,
    next_renewal: MonotonicTime,
    outputs: Vec<GatewayOutput>,
}

impl Gateway {
    /// Reads the node's file, or mints an identity on an empty disk. The outputs start the shards
    /// that the node holds.
    pub fn open(
        options: ControlOptions,
        disk: Box<dyn Disk>,
        now: MonotonicTime,
    ) -> Result<(Self, Vec<GatewayOutput>), StorageError> {
        let mut random = StdRng::seed_from_u64(options.seed);
        let loaded = NodeFile::load(disk.as_ref())?;
        let minted = loaded.is_none();
        let file = loaded.unwrap_or_else(|| NodeFile {
            node_id: mint(&mut random),
            ..NodeFile::default()
        });
        let own_session = OwnSession::new(mint(&mut random));
        let mut gateway = Self {
            options,
            random,
            disk,
            file,
            formation: None,
            decommission: None,
            directory: MemberDirectory::default(),
            members: MemberList::default(),
            links: LinkTable::default(),
            dialer: Dialer::default(),
            replica_statuses: BTreeMap::new(),
            stall_detector: StallDetector::default(),
            pending: PendingRequests::default(),
            quota: QuotaRelay::default(),
            agents: AgentTable::default(),
            early_heartbeats: EarlyHeartbeats::new(now),
            own_session,
            operator_requests: PendingOperatorRequests::default(),
            view: MemberView::default(),
            registry: None,
            balance: Balance::new(now),
            next_renewal: now,
            outputs: Vec::new(),
        };
        gateway.start(minted)?;
        let outputs = std::mem::take(&mut gateway.outputs);
        Ok((gateway, outputs))
    }

    /// Takes one input and gives what is to be done.
    pub fn handle(&mut self, now: MonotonicTime, input: GatewayInput) -> Vec<GatewayOutput> {
        match input {
            GatewayInput::Node(input) => self.handle_node(now, input),
            GatewayInput::Shard { shard, output } => self.handle_shard(now, shard, output),
            GatewayInput::StorageCorrupt => self.start_over(now),
        }
        self.send_due(now);
        std::mem::take(&mut self.outputs)
    }

    /// Identity of this node.
    #[must_use]
    pub fn identity(&self) -> NodeId {
        self.file.identity()
    }

    /// The cluster that the node belongs to; 0 before it formed or joined one.
    #[must_use]
    pub fn cluster_id(&self) -> u64 {
        self.file.cluster_id
    }

    /// Standing of each replica that this node holds.
    #[must_use]
    pub fn replica_statuses(&self) -> &BTreeMap<ShardId, ShardReplicaStatus> {
        &self.replica_statuses
    }

    /// Whether agents can be served: every shard is held here and the configuration shard is in
    /// touch with its quorum.
    #[must_use]
    pub fn has_quorum(&self) -> bool {
        let held = self
            .replica_statuses
            .values()
            .filter(|replica| !replica.removed);
        let complete = self.file.is_formed() && held.count() == self.shard_count();
        let configuration = self.replica_statuses.get(&ShardId::CONFIGURATION);
        let has_quorum = configuration.is_some_and(|replica| replica.has_quorum);
        complete && has_quorum && !self.stall_detector.any_stalled()
    }

    /// Number of requests that wait for a leader.
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
            NodeInput::Tick => self.tick(now),
            NodeInput::Shutdown => self.send_to_every_shard(&ShardInput::Shutdown),
        }
    }

    fn tick(&mut self, now: MonotonicTime) {
        self.stall_detector.tick(now);
        self.tick_dialer(now);
        self.tick_formation(now);
        self.tick_member_list(now);
        self.tick_decommission(now);
        self.answer_early_heartbeats(now);
        self.tick_sessions(now);
        self.push_member_view(now);
        self.tick_balance(now);
        self.complete_overdue(now);
        self.quota.expire(now);
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
        self.unsubscribe_everywhere(link);
        let address = self.dialer.closed(now, link);
        if let (Some(formation), Some(address)) = (&mut self.formation, address) {
            formation.lost(&address);
        }
    }

    fn layout(&self) -> ShardLayout {
        ShardLayout::new(self.file.data_shards)
    }

    fn shard_count(&self) -> usize {
        self.layout().all().count()
    }

    fn own_member(&self) -> ControlMember {
        ControlMember {
            node_id: self.file.node_id,
            internal_address: self.options.internal_address.clone(),
            operator_address: self.options.operator_address.clone(),
            zone: self.options.zone.clone(),
        }
    }

    fn emit(&mut self, output: NodeOutput) {
        self.outputs.push(GatewayOutput::Node(output));
    }

    fn record_event(&mut self, record_event: NodeEvent) {
        self.emit(NodeOutput::Event(record_event));
    }

    fn send(&mut self, link: LinkId, body: frame::Body) {
        let frame = Frame { body: Some(body) };
        self.emit(NodeOutput::Send { link, frame });
    }

    /// Sends to a control node if a link to it is open. Gives whether it was sent.
    fn send_to_node(&mut self, node: NodeId, body: frame::Body) -> bool {
        let Some(link) = self.links.to_node(node) else {
            return false;
        };
        self.send(link, body);
        true
    }

    fn send_to_every_node(&mut self, body: &frame::Body) {
        let nodes: Vec<NodeId> = self.links.nodes().collect();
        for node in nodes {
            self.send_to_node(node, body.clone());
        }
    }

    fn send_to_shard(&mut self, shard: ShardId, input: ShardInput) {
        self.outputs.push(GatewayOutput::Shard { shard, input });
    }

    fn send_to_every_shard(&mut self, input: &ShardInput) {
        let shards: Vec<ShardId> = self.replica_statuses.keys().copied().collect();
        for shard in shards {
            self.send_to_shard(shard, input.clone());
        }
    }

    /// Writes the node's file. A node that cannot is of no use: what it would promise is lost.
    fn save_file(&mut self) -> bool {
        let saved = self.file.store(self.disk.as_mut());
        if let Err(error) = &saved {
            let code = crate::storage_code::storage_code(error);
            self.emit(NodeOutput::Fatal { code });
        }
        saved.is_ok()
    }

    fn fresh_identity(&mut self) -> u64 {
        mint(&mut self.random)
    }
}

/// A random number that is not zero.
fn mint(random: &mut StdRng) -> u64 {
    random.next_u64().max(1)
}

/// Whether a code says that everything went well.
fn is_ok(code: u32) -> bool {
    code == ResultCode::Ok.number()
}
