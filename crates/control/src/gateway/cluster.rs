//! Forming, joining and leaving the cluster.

use std::collections::BTreeMap;

use millford_api::internal::{FormCluster, HelloReply, frame};
use millford_api::state::ControlMember;
use millford_core::{Duration, MonotonicTime, NodeId, ShardId};
use millford_membership::{Formation, FormationDecision, MemberDirectory, replica_group};
use millford_storage::StorageError;

use super::member_list::MemberList;
use super::node_file::NodeFile;
use super::sessions::OwnSession;
use super::{Gateway, GatewayOutput, mint};
use crate::node_output::NodeEvent;
use crate::shard::{ShardInput, ShardReplicaStatus};

/// Longest time that a removed node keeps replicas that may still be counted on.
const DECOMMISSION_TIMEOUT: Duration = Duration::from_secs(30);

/// A removed node first lets its links and standings come up to date.
const DECOMMISSION_MIN_DELAY: Duration = Duration::from_secs(2);

/// A node that the cluster removed, until none of its replicas is counted on any more.
#[derive(Debug)]
pub struct Decommission {
    since: MonotonicTime,
}

impl Gateway {
    /// Starts from the node's file.
    pub(super) fn start(&mut self, minted: bool) -> Result<(), StorageError> {
        if minted {
            // Replicas without their identity must not run: whose votes they hold is unknown.
            self.outputs.push(GatewayOutput::EraseShards);
            self.file.store(self.disk.as_mut())?;
            let identity = self.file.identity();
            self.record_event(NodeEvent::IdentityMinted(identity));
        }
        for removed in &self.file.removed {
            self.directory.remove(NodeId(*removed));
        }
        for member in &self.file.members {
            self.directory.introduce(member);
        }
        if !self.file.is_formed() {
            self.formation = Some(Formation::new(
                self.own_member(),
                self.options.seeds.clone(),
            ));
        }
        let shards: Vec<ShardId> = self.file.shards.iter().copied().map(ShardId).collect();
        for shard in shards {
            self.start_shard(shard);
        }
        Ok(())
    }

    /// Forms or joins a cluster once the seeds' answers allow it.
    pub(super) fn tick_formation(&mut self, now: MonotonicTime) {
        let Some(formation) = &self.formation else {
            return;
        };
        match formation.decide(now) {
            FormationDecision::Form(members) => self.form(members),
            FormationDecision::Join { .. } | FormationDecision::Wait => {}
        }
    }

    /// The forming node says that the cluster is formed.
    pub(super) fn handle_form_cluster(&mut self, form: &FormCluster) {
        let named = form
            .members
            .iter()
            .any(|member| member.node_id == self.file.node_id);
        if self.file.is_formed() || !named {
            return;
        }
        self.adopt_cluster(form);
    }

    /// A replica of this node is wanted by the shard's leader.
    pub(super) fn adopt_shard(&mut self, shard: ShardId) -> bool {
        if !self.file.is_formed() || self.decommission.is_some() {
            return false;
        }
        self.file.shards.push(shard.0);
        if !self.save_file() {
            return false;
        }
        self.start_shard_with(shard, Vec::new());
        true
    }

    /// The cluster removed this identity. Its replicas stay until nobody counts on them: leaving
    /// earlier could take the quorum of a shard whose repair is not finished.
    pub(super) fn begin_decommission(&mut self, now: MonotonicTime) {
        if self.decommission.is_some() {
            return;
        }
        self.decommission = Some(Decommission { since: now });
        self.send_to_every_shard(&ShardInput::Shutdown);
    }

    /// Starts over once no group holds a replica of this node any more.
    pub(super) fn tick_decommission(&mut self, now: MonotonicTime) {
        let Some(decommission) = &self.decommission else {
            return;
        };
        let waited = now.since(decommission.since);
        let mut replica_statuses = self.replica_statuses.values();
        let all_removed = replica_statuses.all(|replica| replica.removed);
        let not_needed = waited >= DECOMMISSION_MIN_DELAY && self.is_dispensable();
        if all_removed || not_needed || waited >= DECOMMISSION_TIMEOUT {
            self.start_over(now);
        }
    }

    /// Whether every group holds its quorum without this node.
    ///
    /// A replica that was cut off while its group removed it never hears of that. One that votes
    /// still may be let go while all other voters are connected: its group takes this node's next
    /// identity in its place, which it could not do for as long as this one stays.
    fn is_dispensable(&self) -> bool {
        let own = self.file.identity();
        self.replica_statuses.values().all(|replica| {
            let votes = replica.voters.contains(&own);
            let mut others = replica.voters.iter().filter(|voter| **voter != own);
            !votes || others.all(|voter| self.links.to_node(*voter).is_some())
        })
    }

    /// Starts again as an empty node under a new identity, in the same cluster.
    pub(super) fn start_over(&mut self, now: MonotonicTime) {
        self.decommission = None;
        self.outputs.push(GatewayOutput::EraseShards);
        self.replica_statuses.clear();
        self.stall_detector.clear();
        let former = self.file.node_id;
        self.directory.remove(NodeId(former));
        self.file.removed.push(former);
        self.file.node_id = self.fresh_identity();
        self.file.shards.clear();
        self.file.founders.clear();
        self.file.members = self.directory.to_vec();
        if !self.save_file() {
            return;
        }
        self.own_session = OwnSession::new(mint(&mut self.random));
        self.agents.clear();
        // What the former replica of the list knew is not the present list.
        self.members = MemberList::default();
        self.members.check_soon(now);
        let identity = self.file.identity();
        self.record_event(NodeEvent::StartedOver(identity));
        self.dialer.schedule_hellos(now);
    }

    pub(super) fn is_founder(&self, identity: NodeId) -> bool {
        let mut founders = self.file.founders.iter();
        founders.any(|founder| founder.node_id == identity.0)
    }

    fn form(&mut self, members: Vec<ControlMember>) {
        let form = FormCluster {
            cluster_id: mint(&mut self.random),
            members,
            data_shards: self.options.data_shards.max(1),
        };
        if !self.adopt_cluster(&form) {
            return;
        }
        self.record_event(NodeEvent::ClusterFormed(form.cluster_id));
        self.send_to_every_node(&frame::Body::FormCluster(form));
    }

    pub(super) fn form_cluster_frame(&self) -> frame::Body {
        frame::Body::FormCluster(FormCluster {
            cluster_id: self.file.cluster_id,
            members: self.file.founders.clone(),
            data_shards: self.file.data_shards,
        })
    }

    /// Writes the cluster down before anything is done in its name, then starts the shards.
    fn adopt_cluster(&mut self, form: &FormCluster) -> bool {
        for member in form.members.iter() {
            if self.is_other(member) {
                self.directory.introduce(member);
            }
        }
        let groups = self.founding_groups(form);
        self.file = NodeFile {
            node_id: self.file.node_id,
            cluster_id: form.cluster_id,
            data_shards: form.data_shards,
            members: self.directory.to_vec(),
            founders: form.members.clone(),
            removed: Vec::new(),
            shards: groups.keys().map(|shard| shard.0).collect(),
        };
        if !self.save_file() {
            return false;
        }
        self.formation = None;
        for (shard, voters) in groups {
            self.start_shard_with(shard, voters);
        }
        true
    }

    /// The shards that this node holds from the start, each with its first voters.
    fn founding_groups(&self, form: &FormCluster) -> BTreeMap<ShardId, Vec<NodeId>> {
        let nodes: Vec<NodeId> = form
            .members
            .iter()
            .map(|member| NodeId(member.node_id))
            .collect();
        let layout = millford_core::ShardLayout::new(form.data_shards);
        let groups = layout.all().map(|shard| {
            (
                shard,
                replica_group(&nodes, shard, self.options.voters_per_shard),
            )
        });
        groups
            .filter(|(_, group)| group.contains(&self.file.identity()))
            .collect()
    }

    pub(super) fn join(&mut self, now: MonotonicTime, reply: &HelloReply) {
        self.file.cluster_id = reply.cluster_id;
        self.file.data_shards = reply.data_shards;
        self.file.members = self.directory.to_vec();
        if !self.save_file() {
            return;
        }
        self.formation = None;
        self.members.check_soon(now);
        self.record_event(NodeEvent::JoinedAsStandby(reply.cluster_id));
    }

    fn start_shard(&mut self, shard: ShardId) {
        let founders: Vec<NodeId> = self
            .file
            .founders
            .iter()
            .map(|founder| NodeId(founder.node_id))
            .collect();
        // A founder that stopped between writing the file and opening the shard begins with the
        // same first voters; a replica that holds anything takes its voters from its storage.
        let voters = replica_group(&founders, shard, self.options.voters_per_shard);
        self.start_shard_with(shard, voters);
    }

    fn start_shard_with(&mut self, shard: ShardId, voters: Vec<NodeId>) {
        let identity = self.file.identity();
        self.replica_statuses
            .insert(shard, ShardReplicaStatus::unknown(shard));
        self.outputs.push(GatewayOutput::StartShard {
            shard,
            identity,
            voters,
            data_shards: self.file.data_shards,
        });
        let configuration = self.members.configuration().to_vec();
        self.send_to_shard(shard, ShardInput::Configuration(configuration));
        let view = self.view.clone();
        self.send_to_shard(shard, ShardInput::Members(view));
    }

    /// The nodes known, for messages to agents.
    pub(super) fn directory(&self) -> &MemberDirectory {
        &self.directory
    }
}
