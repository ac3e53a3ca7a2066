//! Forming and joining a cluster, and the decommissioning of a removed identity.

use std::collections::BTreeMap;

use millford_api::internal::{
    FormCluster, HelloReply, ShardReply, ShardStatusRequest, frame, shard_reply, shard_request,
};
use millford_api::state::ControlMember;
use millford_core::{MonotonicTime, NodeId, ShardId, ShardLayout};
use millford_membership::{Formation, FormationDecision, replica_group};
use millford_storage::StorageError;

use super::Gateway;
use crate::gateway::decommission::Decommission;
use crate::gateway::input::{GatewayOutput, ShardStart};
use crate::gateway::member_list::MemberList;
use crate::gateway::node_file::NodeFile;
use crate::gateway::node_store::IdentityOrigin;
use crate::gateway::own_session::OwnSession;
use crate::gateway::pending_requests::{Origin, request_to};
use crate::node_event::NodeEvent;
use crate::shard::ShardInput;
use crate::timing::STATUS_REQUEST_TIMEOUT;

impl Gateway {
    /// Restores the node from its file, and starts the shards that the file lists.
    ///
    /// # Errors
    /// A new identity cannot be written.
    pub(super) fn start(&mut self, origin: IdentityOrigin) -> Result<(), StorageError> {
        if origin == IdentityOrigin::Created {
            // Replicas whose node identity was lost must not run: their stored votes cannot be
            // attributed to an identity.
            self.outbox.push(GatewayOutput::EraseShards);
            self.store.save()?;
            let identity = self.store.identity();
            self.outbox
                .record_event(NodeEvent::IdentityCreated(identity));
        }
        let file = self.store.file().clone();
        for removed in &file.removed {
            self.directory.remove(NodeId(*removed));
        }
        for member in &file.members {
            self.directory.introduce(member);
        }
        if !file.is_formed() {
            self.formation = Some(Formation::new(
                self.own_member(),
                self.options.seeds.clone(),
            ));
        }
        for shard in file.shards.iter().copied().map(ShardId) {
            self.restart_shard(shard);
        }
        Ok(())
    }

    /// Forms a cluster once the seeds' answers allow it.
    pub(super) fn tick_formation(&mut self, now: MonotonicTime) {
        let Some(formation) = &self.formation else {
            return;
        };
        match formation.decide(now) {
            FormationDecision::Form(members) => self.form(members),
            FormationDecision::Join { .. } | FormationDecision::Wait => {}
        }
    }

    fn form(&mut self, members: Vec<ControlMember>) {
        let form = FormCluster {
            cluster_id: self.store.random_id(),
            members,
            data_shards: self.options.data_shards.max(1),
        };
        if !self.adopt_cluster(&form) {
            return;
        }
        self.outbox
            .record_event(NodeEvent::ClusterFormed(form.cluster_id));
        self.send_to_every_node(&frame::Body::FormCluster(form));
    }

    /// Adopts the cluster that another founder has formed, if it names this node as a founder.
    pub(super) fn handle_form_cluster(&mut self, form: &FormCluster) {
        let own = self.store.identity();
        let mut members = form.members.iter();
        let named = members.any(|member| member.node_id == own.0);
        if self.store.is_formed() || !named {
            return;
        }
        self.adopt_cluster(form);
    }

    /// The announcement of the cluster, for a founder that missed it.
    pub(super) fn form_cluster_frame(&self) -> frame::Body {
        let file = self.store.file();
        frame::Body::FormCluster(FormCluster {
            cluster_id: file.cluster_id,
            members: file.founders.clone(),
            data_shards: file.data_shards,
        })
    }

    /// Stores the cluster in the node's file first, then starts the shards.
    fn adopt_cluster(&mut self, form: &FormCluster) -> bool {
        for member in &form.members {
            if self.is_other(member) {
                self.directory.introduce(member);
            }
        }
        let groups = self.founding_groups(form);
        let file = NodeFile {
            node_id: self.store.identity().0,
            cluster_id: form.cluster_id,
            data_shards: form.data_shards,
            members: self.directory.to_vec(),
            founders: form.members.clone(),
            removed: Vec::new(),
            shards: groups.keys().map(|shard| shard.0).collect(),
        };
        let saved = self.store.form(file);
        if !self.require_saved(&saved) {
            return false;
        }
        self.formation = None;
        for (shard, voters) in groups {
            self.start_shard(shard, voters);
        }
        true
    }

    /// The shards of which this founder holds a replica, each with its initial voters.
    fn founding_groups(&self, form: &FormCluster) -> BTreeMap<ShardId, Vec<NodeId>> {
        let members = form.members.iter();
        let nodes: Vec<NodeId> = members.map(|member| NodeId(member.node_id)).collect();
        let own = self.store.identity();
        let layout = ShardLayout::new(form.data_shards);
        let groups = layout.all().map(|shard| {
            let group = replica_group(&nodes, shard, self.options.voters_per_shard);
            (shard, group)
        });
        groups.filter(|(_, group)| group.contains(&own)).collect()
    }

    /// Joins a formed cluster as a standby, without replicas.
    pub(super) fn join(&mut self, now: MonotonicTime, reply: &HelloReply) {
        let members = self.directory.to_vec();
        let saved = self
            .store
            .join(reply.cluster_id, reply.data_shards, members);
        if !self.require_saved(&saved) {
            return;
        }
        self.formation = None;
        self.members.check_soon(now);
        self.outbox
            .record_event(NodeEvent::JoinedAsStandby(reply.cluster_id));
    }

    /// Starts a replica that the shard's leader places on this node. Returns whether it was
    /// started.
    pub(super) fn adopt_shard(&mut self, shard: ShardId) -> bool {
        if !self.store.is_formed() || self.decommission.is_some() {
            return false;
        }
        let saved = self.store.add_shard(shard);
        if !self.require_saved(&saved) {
            return false;
        }
        self.start_shard(shard, Vec::new());
        true
    }

    /// Starts a shard that the node's file lists.
    fn restart_shard(&mut self, shard: ShardId) {
        let founders = self.store.file().founders.iter();
        let founders: Vec<NodeId> = founders.map(|founder| NodeId(founder.node_id)).collect();
        // A founder that stopped between writing the file and opening the shard starts with the
        // same initial voters. A replica with a non-empty log takes its voters from its storage.
        let voters = replica_group(&founders, shard, self.options.voters_per_shard);
        self.start_shard(shard, voters);
    }

    fn start_shard(&mut self, shard: ShardId, voters: Vec<NodeId>) {
        self.replicas.start(shard);
        self.outbox.push(GatewayOutput::StartShard(ShardStart {
            shard,
            identity: self.store.identity(),
            voters,
            data_shards: self.store.file().data_shards,
        }));
        let configuration = self.members.configuration().to_vec();
        self.outbox
            .send_to_shard(shard, ShardInput::Configuration(configuration));
        let view = self.view.clone();
        self.outbox.send_to_shard(shard, ShardInput::Members(view));
    }

    /// Starts decommissioning this identity after the cluster removed it. Its replicas keep running
    /// until no group needs them: if they stopped earlier, a shard whose repair is not finished
    /// could lose its quorum.
    pub(super) fn begin_decommission(&mut self, now: MonotonicTime) {
        if self.decommission.is_some() {
            return;
        }
        self.decommission = Some(Decommission::start(now));
        self.send_to_every_shard(&ShardInput::Shutdown);
    }

    /// Starts over once no group needs a replica of this node any more.
    pub(super) fn tick_decommission(&mut self, now: MonotonicTime) {
        let Some(decommission) = &mut self.decommission else {
            return;
        };
        for shard in decommission.take_status_requests(now, &self.replicas) {
            let status = shard_request::Kind::Status(ShardStatusRequest {});
            let request = request_to(shard, status);
            self.pending
                .submit(now, Origin::Decommission, request, STATUS_REQUEST_TIMEOUT);
        }
        let own = self.store.identity();
        if decommission.is_complete(now, own, &self.replicas, &self.links) {
            self.start_over(now);
        }
    }

    /// Handles the status of a shard that may still need a replica of this removed identity.
    pub(super) fn decommission_status_read(&mut self, reply: &ShardReply) {
        let own = self.store.identity();
        if let (Some(decommission), Some(shard_reply::Kind::Status(status))) =
            (&mut self.decommission, &reply.kind)
        {
            decommission.record_status(own, status);
        }
    }

    /// Erases the shards and continues as a standby under a new identity, in the same cluster.
    pub(super) fn start_over(&mut self, now: MonotonicTime) {
        self.decommission = None;
        self.outbox.push(GatewayOutput::EraseShards);
        self.replicas.clear();
        self.directory.remove(self.store.identity());
        let saved = self.store.start_over(self.directory.to_vec());
        if !self.require_saved(&saved) {
            return;
        }
        self.own_session = OwnSession::new(self.store.random_id());
        self.agents.clear();
        // The list from the erased replica may be outdated.
        self.members = MemberList::default();
        self.members.check_soon(now);
        let identity = self.store.identity();
        self.outbox.record_event(NodeEvent::StartedOver(identity));
        self.dialer.schedule_hellos(now);
    }
}
