//! A test double of an agent, as far as it communicates with control nodes.

use std::time::Duration;

use millford_api::command::{Command, OpenSession, command, command_result};
use millford_api::internal::{
    FeedMessage, Frame, Heartbeat, HeartbeatReply, ShardReply, ShardRequest, Subscribe, frame,
    shard_reply, shard_request,
};
use millford_core::{ShardId, ShardLayout, session_key};
use millford_feed::{FeedOutcome, FeedView};

use super::cluster::{Cluster, End};

/// An agent that follows the feed of one shard and may open a session.
pub(crate) struct TestAgent {
    /// The agent's name, which is the member name of its session.
    pub(crate) name: String,
    /// The agent's end of the link to a control node.
    pub(crate) end: End,
    /// The state received through the feed.
    pub(crate) view: FeedView,
    /// Epoch of the agent's session; 0 before the session is open.
    pub(crate) epoch: u64,
    /// Whether the node ended the feed as stale.
    pub(crate) stale: bool,
    /// The last heartbeat reply.
    pub(crate) last_heartbeat: Option<HeartbeatReply>,
    /// Received replies that [`TestAgent::reply`] has not returned yet.
    pub(crate) replies: Vec<ShardReply>,
    next_request: u64,
}

impl TestAgent {
    /// Connects to a control node and subscribes to a shard.
    pub(crate) fn connect(cluster: &mut Cluster, name: &str, to: &str, shard: ShardId) -> Self {
        let end = cluster.open_link(name, to);
        let mut agent = Self {
            name: name.to_owned(),
            end,
            view: FeedView::new(shard),
            epoch: 0,
            stale: false,
            last_heartbeat: None,
            replies: Vec::new(),
            next_request: 0,
        };
        cluster.run(Duration::from_millis(20));
        agent.subscribe(cluster);
        agent
    }

    /// Subscribes from the position of the agent's view.
    pub(crate) fn subscribe(&mut self, cluster: &mut Cluster) {
        let subscribe: Subscribe = self.view.subscribe();
        self.send(cluster, frame::Body::Subscribe(subscribe));
    }

    /// Connects to another control node and keeps the view.
    pub(crate) fn move_to(&mut self, cluster: &mut Cluster, to: &str) {
        cluster.close(&self.end);
        self.end = cluster.open_link(&self.name, to);
        self.stale = false;
        cluster.run(Duration::from_millis(20));
        self.subscribe(cluster);
    }

    /// Sends a request to a shard's leader. [`TestAgent::reply`] waits for the reply.
    pub(crate) fn request(
        &mut self,
        cluster: &mut Cluster,
        shard: ShardId,
        kind: shard_request::Kind,
    ) {
        self.next_request += 1;
        let request = ShardRequest {
            shard: shard.0,
            request_id: self.next_request,
            kind: Some(kind),
            hops: 0,
        };
        self.send(cluster, frame::Body::ShardRequest(request));
    }

    /// Sends a command to a shard's leader.
    pub(crate) fn propose(&mut self, cluster: &mut Cluster, shard: ShardId, kind: command::Kind) {
        let command = Command { kind: Some(kind) };
        self.request(cluster, shard, shard_request::Kind::Propose(command));
    }

    /// Waits for the reply to the last request, for at most 4 s of simulated time.
    pub(crate) fn reply(&mut self, cluster: &mut Cluster) -> ShardReply {
        for _ in 0..200 {
            self.receive(cluster);
            let desired = self.next_request;
            let index = self
                .replies
                .iter()
                .position(|reply| reply.request_id == desired);
            if let Some(index) = index {
                return self.replies.remove(index);
            }
            cluster.run(Duration::from_millis(20));
        }
        panic!("no reply to the last request of {}", self.name);
    }

    /// Opens the agent's session and stores its epoch. Panics if it is refused.
    pub(crate) fn open_session(&mut self, cluster: &mut Cluster, boot_id: u64) {
        let shard = ShardLayout::new(2).shard_of(&session_key(&self.name));
        let open = OpenSession {
            member: self.name.clone(),
            boot_id,
            zone: "zone".to_owned(),
            address: "agent:1".to_owned(),
            ..Default::default()
        };
        self.propose(cluster, shard, command::Kind::OpenSession(open));
        let reply = self.reply(cluster);
        let Some(shard_reply::Kind::Result(result)) = reply.kind else {
            panic!("unexpected reply to an opened session: {reply:?}");
        };
        let Some(command_result::Kind::OpenSession(opened)) = result.kind else {
            panic!("unexpected result of an opened session: {result:?}");
        };
        self.epoch = opened.epoch;
    }

    /// Sends one heartbeat.
    pub(crate) fn heartbeat(&mut self, cluster: &mut Cluster) {
        let heartbeat = Heartbeat {
            member: self.name.clone(),
            epoch: self.epoch,
            sequence: 1,
            applied_revision: 0,
        };
        self.send(cluster, frame::Body::Heartbeat(heartbeat));
    }

    /// Sends a heartbeat every 250 ms for a time, as an agent does.
    pub(crate) fn heartbeat_for(&mut self, cluster: &mut Cluster, time: Duration) {
        let beats = time.as_millis() / 250;
        for _ in 0..beats {
            self.heartbeat(cluster);
            cluster.run(Duration::from_millis(250));
            self.receive(cluster);
        }
    }

    /// Handles the received frames. Panics if the feed sends an older state.
    pub(crate) fn receive(&mut self, cluster: &mut Cluster) {
        for frame in cluster.take_frames(&self.end) {
            match frame.body {
                Some(frame::Body::Feed(message)) => self.feed(cluster, message),
                Some(frame::Body::HeartbeatReply(reply)) => self.last_heartbeat = Some(reply),
                Some(frame::Body::ShardReply(reply)) => self.replies.push(reply),
                _ => {}
            }
        }
    }

    fn feed(&mut self, cluster: &mut Cluster, message: FeedMessage) {
        let is_stale_message = matches!(
            message.kind,
            Some(millford_api::internal::feed_message::Kind::Stale(_))
        );
        match self.view.apply(message) {
            FeedOutcome::Stale if is_stale_message => self.stale = true,
            FeedOutcome::Stale => panic!("the feed sent {} an older state", self.name),
            FeedOutcome::Resubscribe => self.subscribe(cluster),
            FeedOutcome::Changed(_) | FeedOutcome::Unchanged => {}
        }
    }

    fn send(&mut self, cluster: &mut Cluster, body: frame::Body) {
        cluster.send(&self.end.clone(), Frame { body: Some(body) });
    }
}
