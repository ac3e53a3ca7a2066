//! Dispatch of received frames to the parts that handle them.

use millford_api::internal::{Frame, LoadReport, ShardRequest, Subscribe, frame};
use millford_api::replication::{ReplicationMessage, replication_message};
use millford_core::{MonotonicTime, ShardId};

use super::Gateway;
use crate::gateway::links::LinkPeer;
use crate::link::LinkId;
use crate::shard::ShardInput;

impl Gateway {
    /// Handles a frame. Its kind shows whether a control node or an agent is the peer of the link.
    pub(super) fn handle_frame(&mut self, now: MonotonicTime, link: LinkId, frame: Frame) {
        use frame::Body;
        let Some(body) = frame.body else {
            return;
        };
        match body {
            Body::Hello(hello) => self.handle_hello(link, &hello),
            Body::HelloReply(reply) => self.handle_hello_reply(now, link, &reply),
            Body::FormCluster(form) => self.handle_form_cluster(&form),
            Body::Replication(message) => self.handle_replication(message),
            Body::ShardRequest(request) => self.handle_shard_request(now, link, request),
            Body::ShardReply(reply) => self.handle_reply(now, reply.request_id, reply),
            Body::Subscribe(subscribe) => self.handle_subscribe(link, subscribe),
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(now, link, &heartbeat),
            Body::LoadReport(report) => self.handle_load(link, report),
            Body::QuotaRequest(request) => self.handle_quota_request(now, link, request),
            Body::RelayedQuotaRequest(relayed) => {
                self.handle_relayed_quota_request(now, link, relayed);
            }
            Body::RelayedQuotaReply(relayed) => {
                if let Some(reply) = relayed.reply {
                    self.handle_quota_reply(relayed.relay_id, reply);
                }
            }
            Body::QuotaRecall(recall) => {
                self.recall_own_agent(&recall);
            }
            Body::LoadSnapshot(_) => self.send_to_own_agents(&body),
            // These are only sent from control nodes to agents.
            Body::Feed(_) | Body::HeartbeatReply(_) | Body::QuotaReply(_) => {}
        }
    }

    fn handle_replication(&mut self, message: ReplicationMessage) {
        // Ignore messages to another identity, such as the one that this machine had before its
        // disk was wiped.
        if message.to != self.store.file().node_id {
            return;
        }
        let shard = ShardId(message.shard);
        if !self.replicas.holds(shard) {
            let creates = creates_replica(&message);
            if !creates || !self.adopt_shard(shard) {
                return;
            }
        }
        self.outbox
            .send_to_shard(shard, ShardInput::Replication(message));
    }

    fn handle_shard_request(&mut self, now: MonotonicTime, link: LinkId, request: ShardRequest) {
        self.links.set_agent(link);
        self.accept_request(now, link, request);
    }

    fn handle_subscribe(&mut self, link: LinkId, subscribe: Subscribe) {
        self.links.set_agent(link);
        self.subscribe(link, subscribe);
    }

    fn handle_load(&mut self, link: LinkId, report: LoadReport) {
        self.links.set_agent(link);
        let shard = ShardId(report.shard);
        let Some(replica) = self.replicas.get(shard) else {
            return;
        };
        if replica.leads {
            self.outbox.send_to_shard(shard, ShardInput::Load(report));
            return;
        }
        // Forwarded at most once, so that no report is forwarded in a loop.
        let from_agent = self.links.peer(link) == LinkPeer::Agent;
        if from_agent && replica.leader.is_some() {
            let leader = replica.leader;
            self.send_to_node(leader, frame::Body::LoadReport(report));
        }
    }

    /// Sends a frame to every agent with a link to this node.
    pub(super) fn send_to_own_agents(&mut self, body: &frame::Body) {
        let links: Vec<LinkId> = self.links.agents().collect();
        for link in links {
            self.outbox.send(link, body.clone());
        }
    }
}

/// Whether the message may create a replica. A leader's entries and snapshots do; vote requests
/// never do.
fn creates_replica(message: &ReplicationMessage) -> bool {
    use replication_message::Body;
    matches!(
        message.body,
        Some(Body::AppendRequest(_) | Body::SnapshotChunk(_))
    )
}
