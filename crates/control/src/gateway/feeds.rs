//! The feeds of agents, as far as the gateway is concerned, and the outputs of shards.

use millford_api::internal::{FeedMessage, FeedStale, QuotaRecall, Subscribe, feed_message, frame};
use millford_core::{MonotonicTime, ShardId};

use super::Gateway;
use crate::link::LinkId;
use crate::node_output::{NodeNote, NodeOutput};
use crate::shard::{ShardInput, ShardOutput, ShardStanding};

impl Gateway {
    pub(super) fn handle_shard(&mut self, now: MonotonicTime, shard: ShardId, output: ShardOutput) {
        match output {
            ShardOutput::Replication(message) => {
                let to = millford_core::NodeId(message.to);
                self.send_to_node(to, frame::Body::Replication(message));
            }
            ShardOutput::Reply { ticket, reply } => self.handle_reply(now, ticket, reply),
            ShardOutput::Quota { ticket, reply } => self.handle_quota_reply(ticket, reply),
            ShardOutput::Recall(recall) => self.recall(recall),
            ShardOutput::AskLeader { read } => self.ask_leader(now, shard, read),
            ShardOutput::Feed {
                subscriber,
                message,
            } => self.feed(subscriber, message),
            ShardOutput::PublicChange(items) => self.public_change(now, shard, items),
            ShardOutput::Standing(standing) => self.standing_changed(now, standing),
            ShardOutput::Picture(picture) => {
                self.tell_all_agents(&frame::Body::LoadSnapshot(picture));
            }
            ShardOutput::Note(note) => self.note(note),
            ShardOutput::Failed(code) => {
                // What the disk holds is unknown. A new process reads it again; if none comes, a
                // spare takes this node's place.
                self.note(NodeNote::ReplicaFailed { shard, code });
                self.emit(NodeOutput::Fatal { code });
            }
        }
    }

    pub(super) fn subscribe(&mut self, link: LinkId, subscribe: Subscribe) {
        let shard = ShardId(subscribe.shard);
        if self.standings.contains_key(&shard) {
            let subscriber = link;
            self.tell_shard(
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

    pub(super) fn unsubscribe_everywhere(&mut self, link: LinkId) {
        self.tell_every_shard(&ShardInput::Unsubscribe { subscriber: link });
    }

    fn feed(&mut self, link: LinkId, message: FeedMessage) {
        if self.links.is_open(link) {
            self.send(link, frame::Body::Feed(message));
        }
    }

    /// To the one agent that may hold something: here, or through the other control nodes. To send
    /// it to all would cost holders times nodes messages for each refusal.
    fn recall(&mut self, recall: QuotaRecall) {
        if !self.recall_own_agent(&recall) {
            self.send_to_every_node(&frame::Body::QuotaRecall(recall));
        }
    }

    /// Tells the agent if it is linked here; an empty name means every agent.
    pub(super) fn recall_own_agent(&mut self, recall: &QuotaRecall) -> bool {
        if recall.member.is_empty() {
            self.tell_own_agents(&frame::Body::QuotaRecall(recall.clone()));
            return false;
        }
        let Some(link) = self.agents.link_of(&recall.member) else {
            return false;
        };
        self.send(link, frame::Body::QuotaRecall(recall.clone()));
        true
    }

    /// To the agents of this node and, through the other control nodes, to all others.
    fn tell_all_agents(&mut self, body: &frame::Body) {
        self.tell_own_agents(body);
        self.send_to_every_node(body);
    }

    fn standing_changed(&mut self, now: MonotonicTime, standing: ShardStanding) {
        let shard = standing.shard;
        self.stalls.heard(now, shard);
        let Some(former) = self.standings.insert(shard, standing.clone()) else {
            // A core that was stopped in the meantime.
            self.standings.remove(&shard);
            return;
        };
        if standing.leads && !former.leads {
            self.note(NodeNote::Leader {
                shard,
                leader: standing.leader,
                term: standing.term,
            });
        }
        if former.in_touch && !standing.in_touch {
            self.note(NodeNote::OutOfTouch(shard));
        }
        self.answer_early_heartbeats(now);
    }
}
