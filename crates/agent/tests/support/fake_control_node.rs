//! Fake control node with real feed publishers and quota leases, and simplified answers to other
//! requests.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::command::{
    ClaimResult, Command, CommandResult, OpenSessionResult, command, command_result,
};
use millford_api::config::Quota;
use millford_api::internal::{
    FeedMessage, FeedStale, Frame, Heartbeat, HeartbeatReply, QuotaRequest, ShardReply,
    ShardRequest, feed_message, frame, shard_reply, shard_request,
};
use millford_api::state::{ControlMember, StateItem};
use millford_control_state::quota::{QuotaLeases, QuotaOptions, QuotaOutput};
use millford_core::{MonotonicTime, ResultCode, ShardId, ShardLayout, tenant_key};
use millford_feed::{FeedPosition, FeedPublisher};

use super::DATA_SHARDS;

/// State of the shards that all control nodes share.
pub(crate) struct SharedShards {
    /// Whether the shards have no leaders.
    pub(crate) leaderless: bool,
    pub(crate) leases: BTreeMap<u32, QuotaLeases>,
    /// Epoch of each open session, by member.
    pub(crate) sessions: BTreeMap<String, u64>,
    pub(crate) next_epoch: u64,
    /// Claims received, in order and with duplicates.
    pub(crate) claims: Vec<millford_api::command::Claim>,
    /// Claim outcomes received, in order and with duplicates.
    pub(crate) resolutions: Vec<millford_api::command::ResolveClaim>,
    /// Members that have closed their session.
    pub(crate) closed: Vec<String>,
}

impl SharedShards {
    pub(crate) fn new(now: MonotonicTime) -> Self {
        let mut leases = BTreeMap::new();
        for shard in 1..=DATA_SHARDS {
            let mut leases_of_shard = QuotaLeases::new(ShardId(shard), QuotaOptions::default());
            leases_of_shard.lead(now, 1);
            leases.insert(shard, leases_of_shard);
        }
        Self {
            leaderless: false,
            leases,
            sessions: BTreeMap::new(),
            next_epoch: 0,
            claims: Vec::new(),
            resolutions: Vec::new(),
            closed: Vec::new(),
        }
    }

    pub(crate) fn set_quota(&mut self, now: MonotonicTime, tenant: &str, quota: Quota) {
        let shard = ShardLayout::new(DATA_SHARDS).shard_of(&tenant_key(tenant));
        let leases_of_shard = self.leases.get_mut(&shard.0).expect("shard");
        leases_of_shard.set_quota(now, tenant, Some(quota));
    }

    /// Removes the leader of every shard.
    pub(crate) fn remove_leaders(&mut self) {
        self.leaderless = true;
        self.leases.values_mut().for_each(QuotaLeases::resign);
    }

    /// Elects a new leader for every shard, in `term`.
    pub(crate) fn elect(&mut self, now: MonotonicTime, term: u64) {
        self.leaderless = false;
        for leases_of_shard in self.leases.values_mut() {
            leases_of_shard.lead(now, term);
        }
    }

    fn quota(&mut self, now: MonotonicTime, request: &QuotaRequest) -> Vec<frame::Body> {
        let leases_of_shard = self.leases.get_mut(&request.shard).expect("shard");
        let outputs = leases_of_shard.handle(now, request).into_iter();
        outputs
            .map(|output| match output {
                QuotaOutput::Reply { reply, .. } => frame::Body::QuotaReply(reply),
                QuotaOutput::Recall { recall, .. } => frame::Body::QuotaRecall(recall),
            })
            .collect()
    }

    fn propose(&mut self, command: Command) -> Option<CommandResult> {
        if self.leaderless {
            return None;
        }
        let kind = match command.kind? {
            command::Kind::OpenSession(open) => {
                self.next_epoch += 1;
                self.sessions.insert(open.member, self.next_epoch);
                let epoch = self.next_epoch;
                Some(command_result::Kind::OpenSession(OpenSessionResult {
                    epoch,
                }))
            }
            command::Kind::Claim(claim) => {
                self.claims.push(claim);
                let granted = ClaimResult {
                    granted: true,
                    outcome: 0,
                };
                Some(command_result::Kind::Claim(granted))
            }
            command::Kind::ResolveClaim(resolve) => {
                self.resolutions.push(resolve);
                None
            }
            command::Kind::CloseSession(close) => {
                self.sessions.remove(&close.member);
                self.closed.push(close.member);
                None
            }
            _ => None,
        };
        Some(CommandResult { code: 0, kind })
    }
}

/// One fake control node.
pub(crate) struct FakeControlNode {
    pub(crate) address: String,
    /// Whether the node keeps its connections open but sends nothing.
    pub(crate) unresponsive: bool,
    /// Shards whose state the node cannot confirm because it cannot reach their leader.
    pub(crate) stale_shards: BTreeSet<u32>,
    pub(crate) has_quorum: bool,
    pub(crate) members: Vec<ControlMember>,
    pub(crate) publishers: BTreeMap<u32, FeedPublisher>,
    /// Shard and offset of each subscription received.
    pub(crate) subscriptions: Vec<(u32, u64)>,
}

/// Id of the agent, the only subscriber of a fake node's publishers.
const SUBSCRIBER: u64 = 1;

impl FakeControlNode {
    pub(crate) fn new(address: &str) -> Self {
        let shards = 0..=DATA_SHARDS;
        let publishers = shards.map(|shard| (shard, FeedPublisher::new(ShardId(shard))));
        Self {
            address: address.to_owned(),
            unresponsive: false,
            stale_shards: BTreeSet::new(),
            has_quorum: true,
            members: Vec::new(),
            publishers: publishers.collect(),
            subscriptions: Vec::new(),
        }
    }

    pub(crate) fn apply(
        &mut self,
        shard: u32,
        offset: u64,
        items: Vec<StateItem>,
    ) -> Vec<frame::Body> {
        let publisher = self.publishers.get_mut(&shard).expect("shard");
        let deliveries = publisher.apply(FeedPosition::new(1, offset), items);
        let messages = deliveries.into_iter().map(|delivery| delivery.message);
        messages.map(frame::Body::Feed).collect()
    }

    pub(crate) fn unsubscribe_agent(&mut self) {
        for publisher in self.publishers.values_mut() {
            publisher.unsubscribe(SUBSCRIBER);
        }
    }

    pub(crate) fn handle(
        &mut self,
        now: MonotonicTime,
        frame: Frame,
        shared: &mut SharedShards,
    ) -> Vec<frame::Body> {
        if self.unresponsive {
            return Vec::new();
        }
        match frame.body.expect("body") {
            frame::Body::Heartbeat(heartbeat) => vec![self.heartbeat(&heartbeat, shared)],
            frame::Body::Subscribe(subscribe) => {
                self.subscriptions.push((subscribe.shard, subscribe.offset));
                if self.stale_shards.contains(&subscribe.shard) {
                    return vec![Self::stale(subscribe.shard)];
                }
                let publisher = self.publishers.get_mut(&subscribe.shard).expect("shard");
                let messages: Vec<FeedMessage> = publisher.subscribe(SUBSCRIBER, &subscribe);
                messages.into_iter().map(frame::Body::Feed).collect()
            }
            frame::Body::ShardRequest(request) => vec![answer(request, shared)],
            frame::Body::QuotaRequest(request) => shared.quota(now, &request),
            _ => Vec::new(),
        }
    }

    /// Returns the message that reports that the node cannot confirm a shard.
    pub(crate) fn stale(shard: u32) -> frame::Body {
        frame::Body::Feed(FeedMessage {
            shard,
            kind: Some(feed_message::Kind::Stale(FeedStale {})),
        })
    }

    fn heartbeat(&self, heartbeat: &Heartbeat, shared: &SharedShards) -> frame::Body {
        let known = shared.sessions.get(&heartbeat.member);
        frame::Body::HeartbeatReply(HeartbeatReply {
            sequence: heartbeat.sequence,
            session_alive: known == Some(&heartbeat.epoch),
            has_quorum: self.has_quorum,
            members: self.members.clone(),
            data_shards: DATA_SHARDS,
        })
    }
}

fn answer(request: ShardRequest, shared: &mut SharedShards) -> frame::Body {
    let Some(shard_request::Kind::Propose(command)) = request.kind else {
        panic!("an agent only sends proposals");
    };
    let result = shared.propose(command);
    let code = match result {
        Some(_) => ResultCode::Ok,
        None => ResultCode::NoLeader,
    };
    frame::Body::ShardReply(ShardReply {
        shard: request.shard,
        request_id: request.request_id,
        code: code.number(),
        leader_hint: 0,
        kind: result.map(shard_reply::Kind::Result),
    })
}
