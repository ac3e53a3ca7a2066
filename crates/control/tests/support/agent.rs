//! The control side of an agent, as far as a control node sees it.

use std::time::Duration;

use millford_api::command::{Command, OpenSession, command, command_result};
use millford_api::internal::{
    FeedMessage, Frame, Heartbeat, HeartbeatReply, ShardReply, ShardRequest, Subscribe, frame,
    shard_reply, shard_request,
};
use millford_core::{ShardId, ShardLayout, session_key};
use millford_feed::{FeedOutcome, FeedView};

use super::cluster::{Cluster, End};

/// Follows one shard and holds a session.
pub(crate) struct TestAgent {
    /// Name of its session's member.
    pub(crate) name: String,
    /// Its end of the link to a control node.
    pub(crate) end: End,
    /// What the feed showed so far.
    pub(crate) view: FeedView,
    /// Epoch of its session; 0 before it is open.
    pub(crate) epoch: u64,
    /// The node sent it elsewhere.
    pub(crate) stale: bool,
    /// The last answer to a heartbeat.
    pub(crate) last_heartbeat: Option<HeartbeatReply>,
    /// Replies that nobody has taken yet.
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

    /// Subscribes from where its view is.
    pub(crate) fn subscribe(&mut self, cluster: &mut Cluster) {
        let subscribe: Subscribe = self.view.subscribe();
        self.send(cluster, frame::Body::Subscribe(subscribe));
    }

    /// Connects to another control node and retains its view.
    pub(crate) fn move_to(&mut self, cluster: &mut Cluster, to: &str) {
        cluster.close(&self.end);
        self.end = cluster.open_link(&self.name, to);
        self.stale = false;
        cluster.run(Duration::from_millis(20));
        self.subscribe(cluster);
    }

    /// Sends a request to a shard's leader; the answer is awaited with [`TestAgent::reply`].
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

    /// Waits for the answer to the last request.
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
        panic!("no answer for {}", self.name);
    }

    /// Opens its session and takes its epoch. Panics when it is refused.
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
            panic!("no result: {reply:?}");
        };
        let Some(command_result::Kind::OpenSession(opened)) = result.kind else {
            panic!("no session: {result:?}");
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

    /// Heartbeats for a time, as an agent does.
    pub(crate) fn heartbeat_for(&mut self, cluster: &mut Cluster, time: Duration) {
        let beats = time.as_millis() / 250;
        for _ in 0..beats {
            self.heartbeat(cluster);
            cluster.run(Duration::from_millis(250));
            self.receive(cluster);
        }
    }

    /// Takes what arrived. Panics when the feed goes backwards.
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
        let says_stale = matches!(
            message.kind,
            Some(millford_api::internal::feed_message::Kind::Stale(_))
        );
        match self.view.apply(message) {
            FeedOutcome::Stale if says_stale => self.stale = true,
            FeedOutcome::Stale => panic!("{} was fed an older state", self.name),
            FeedOutcome::Resubscribe => self.subscribe(cluster),
            FeedOutcome::Changed(_) | FeedOutcome::Unchanged => {}
        }
    }

    fn send(&mut self, cluster: &mut Cluster, body: frame::Body) {
        cluster.send(&self.end.clone(), Frame { body: Some(body) });
    }
}
