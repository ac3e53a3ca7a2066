//! Handling of the outputs of the shards' cores, most of which go to agents and other nodes.

use millford_api::internal::{FeedMessage, FeedStale, QuotaRecall, Subscribe, feed_message, frame};
use millford_core::{MonotonicTime, NodeId, ShardId};

use super::Gateway;
use crate::link::LinkId;
use crate::node_event::NodeEvent;
use crate::node_output::NodeOutput;
use crate::shard::{ShardInput, ShardOutput, ShardReplicaStatus};

impl Gateway {
    /// Handles an output of a shard's core.
    pub(super) fn handle_shard(&mut self, now: MonotonicTime, shard: ShardId, output: ShardOutput) {
        match output {
            ShardOutput::Replication(message) => {
                let to = NodeId(message.to);
                self.send_to_node(to, frame::Body::Replication(message));
            }
            ShardOutput::Reply {
                correlation_id,
                reply,
            } => self.handle_reply(now, correlation_id, reply),
            ShardOutput::Quota {
                correlation_id,
                reply,
            } => self.handle_quota_reply(correlation_id, reply),
            ShardOutput::Recall(recall) => self.recall(recall),
            ShardOutput::ConfirmRead { read } => self.confirm_read_at_leader(now, shard, read),
            ShardOutput::Feed {
                subscriber,
                message,
            } => self.feed(subscriber, message),
            ShardOutput::PublicChange(items) => self.public_change(now, shard, items),
            ShardOutput::ReplicaStatus(replica) => self.replica_status_changed(now, &replica),
            ShardOutput::LoadSnapshot(snapshot) => {
                self.send_to_all_agents(&frame::Body::LoadSnapshot(snapshot));
            }
            ShardOutput::Event(event) => self.outbox.record_event(event),
            ShardOutput::Failed(code) => {
                // The content of the disk is unknown after a failed write. A restarted process reads
                // it again; without a restart, a standby replaces this node.
                self.outbox
                    .record_event(NodeEvent::ReplicaFailed { shard, code });
                self.outbox.emit(NodeOutput::Fatal { code });
            }
        }
    }

    /// Passes an agent's subscription to the shard. Without a replica of the shard the feed is
    /// answered as stale, so that the agent connects to another node.
    pub(super) fn subscribe(&mut self, link: LinkId, subscribe: Subscribe) {
        let shard = ShardId(subscribe.shard);
        if self.replicas.holds(shard) {
            let subscriber = link;
            self.outbox.send_to_shard(
                shard,
                ShardInput::Subscribe {
                    subscriber,
                    subscribe,
                },
            );
            return;
        }
        let stale = FeedMessage {
            shard: shard.0,
            kind: Some(feed_message::Kind::Stale(FeedStale {})),
        };
        self.feed(link, stale);
    }

    fn feed(&mut self, link: LinkId, message: FeedMessage) {
        if self.links.is_open(link) {
            self.outbox.send(link, frame::Body::Feed(message));
        }
    }

    /// Sends a recall to the named agent, which may hold quota: directly if it is linked here, else
    /// through the other control nodes. A recall without a name is sent to all agents. Sending
    /// every recall to all nodes would cost holders times nodes messages for each refusal.
    fn recall(&mut self, recall: QuotaRecall) {
        if !self.recall_own_agent(&recall) {
            self.send_to_every_node(&frame::Body::QuotaRecall(recall));
        }
    }

    /// Sends the recall to the named agent if it is linked here. A recall without a name is sent to
    /// every agent of this node. Returns whether a named agent was found.
    pub(super) fn recall_own_agent(&mut self, recall: &QuotaRecall) -> bool {
        if recall.member.is_empty() {
            self.send_to_own_agents(&frame::Body::QuotaRecall(recall.clone()));
            return false;
        }
        let Some(link) = self.agents.link_of(&recall.member) else {
            return false;
        };
        self.outbox
            .send(link, frame::Body::QuotaRecall(recall.clone()));
        true
    }

    /// Sends a frame to the agents of this node and, through the other control nodes, to all
    /// others.
    fn send_to_all_agents(&mut self, body: &frame::Body) {
        self.send_to_own_agents(body);
        self.send_to_every_node(body);
    }

    fn replica_status_changed(&mut self, now: MonotonicTime, replica: &ShardReplicaStatus) {
        let shard = replica.shard;
        let Some(former) = self.replicas.update(now, replica) else {
            // The core was stopped in the meantime.
            return;
        };
        if replica.leads && !former.leads {
            self.outbox.record_event(NodeEvent::Leader {
                shard,
                leader: replica.leader,
                term: replica.term,
            });
        }
        if former.has_quorum && !replica.has_quorum {
            self.outbox.record_event(NodeEvent::LostQuorum(shard));
        }
        self.answer_early_heartbeats(now);
    }
}
