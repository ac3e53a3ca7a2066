//! Stand-in of a control node: the real feed publishers and quota ledgers, and simple answers.

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

/// What the cluster as a whole knows.
pub struct SharedShards {
    pub vacant: bool,
    pub ledgers: BTreeMap<u32, QuotaLeases>,
    pub sessions: BTreeMap<String, u64>,
    pub next_epoch: u64,
    pub claims: Vec<millford_api::command::Claim>,
    pub settles: Vec<millford_api::command::ResolveClaim>,
    pub closed: Vec<String>,
}

impl SharedShards {
    pub fn new(now: MonotonicTime) -> Self {
        let mut ledgers = BTreeMap::new();
        for shard in 1..=DATA_SHARDS {
            let mut ledger = QuotaLeases::new(ShardId(shard), QuotaOptions::default());
            ledger.lead(now, 1);
            ledgers.insert(shard, ledger);
        }
        Self {
            vacant: false,
            ledgers,
            sessions: BTreeMap::new(),
            next_epoch: 0,
            claims: Vec::new(),
            settles: Vec::new(),
            closed: Vec::new(),
        }
    }

    pub fn set_quota(&mut self, now: MonotonicTime, tenant: &str, quota: Quota) {
        let shard = ShardLayout::new(DATA_SHARDS).shard_of(&tenant_key(tenant));
        let ledger = self.ledgers.get_mut(&shard.0).expect("shard");
        ledger.set_quota(now, tenant, Some(quota));
    }

    /// Every shard's leader is lost.
    pub fn lose_leaders(&mut self) {
        self.vacant = true;
        self.ledgers.values_mut().for_each(QuotaLeases::resign);
    }

    /// New leaders are elected.
    pub fn elect(&mut self, now: MonotonicTime, term: u64) {
        self.vacant = false;
        for ledger in self.ledgers.values_mut() {
            ledger.lead(now, term);
        }
    }

    fn quota(&mut self, now: MonotonicTime, request: &QuotaRequest) -> Vec<frame::Body> {
        let ledger = self.ledgers.get_mut(&request.shard).expect("shard");
        let outputs = ledger.handle(now, request).into_iter();
        outputs
            .map(|output| match output {
                QuotaOutput::Reply { reply, .. } => frame::Body::QuotaReply(reply),
                QuotaOutput::Recall { recall, .. } => frame::Body::QuotaRecall(recall),
            })
            .collect()
    }

    fn propose(&mut self, command: Command) -> Option<CommandResult> {
        if self.vacant {
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
            command::Kind::ResolveClaim(settle) => {
                self.settles.push(settle);
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

/// One control node.
pub struct ControlStandIn {
    pub address: String,
    pub silent: bool,
    /// Shards whose leader the node does not hear.
    pub stale_shards: BTreeSet<u32>,
    pub in_touch: bool,
    pub members: Vec<ControlMember>,
    pub publishers: BTreeMap<u32, FeedPublisher>,
    pub subscriptions: Vec<(u32, u64)>,
}

/// The only subscriber of a stand-in's publishers.
const SUBSCRIBER: u64 = 1;

impl ControlStandIn {
    pub fn new(address: &str) -> Self {
        let shards = 0..=DATA_SHARDS;
        let publishers = shards.map(|shard| (shard, FeedPublisher::new(ShardId(shard))));
        Self {
            address: address.to_owned(),
            silent: false,
            stale_shards: BTreeSet::new(),
            in_touch: true,
            members: Vec::new(),
            publishers: publishers.collect(),
            subscriptions: Vec::new(),
        }
    }

    pub fn apply(&mut self, shard: u32, offset: u64, items: Vec<StateItem>) -> Vec<frame::Body> {
        let publisher = self.publishers.get_mut(&shard).expect("shard");
        let deliveries = publisher.apply(FeedPosition::new(1, offset), items);
        let messages = deliveries.into_iter().map(|delivery| delivery.message);
        messages.map(frame::Body::Feed).collect()
    }

    pub fn link_closed(&mut self) {
        for publisher in self.publishers.values_mut() {
            publisher.unsubscribe(SUBSCRIBER);
        }
    }

    pub fn handle(
        &mut self,
        now: MonotonicTime,
        frame: Frame,
        shared: &mut SharedShards,
    ) -> Vec<frame::Body> {
        if self.silent {
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

    /// What a node says that cannot confirm a shard.
    pub fn stale(shard: u32) -> frame::Body {
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
            has_quorum: self.in_touch,
            members: self.members.clone(),
            data_shards: DATA_SHARDS,
        })
    }
}

fn answer(request: ShardRequest, shared: &mut SharedShards) -> frame::Body {
    let Some(shard_request::Kind::Propose(command)) = request.kind else {
        panic!("an agent only proposes");
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
