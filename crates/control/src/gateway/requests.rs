//! Requests to the leaders of shards: taken, forwarded, answered.

use std::collections::BTreeMap;

use millford_api::internal::{
    QuotaReply, QuotaRequest, ReadIndex, RelayedQuotaReply, RelayedQuotaRequest, ShardReply,
    ShardRequest, frame, shard_reply, shard_request,
};
use millford_core::{Duration, MonotonicTime, NodeId, ResultCode, ShardId};

use super::pending::{Attempt, Origin, Settled, shard_of};
use super::sessions::request_to;
use super::{Gateway, is_ok};
use crate::link::LinkId;
use crate::shard::ShardInput;
use crate::shard::input::Ticket;
use crate::timing::{AGENT_PATIENCE, QUOTA_PATIENCE, READ_PATIENCE};

/// A forwarded request is not forwarded again.
const MAX_HOPS: u32 = 1;

#[derive(Debug)]
struct QuotaWaiter {
    link: LinkId,
    /// Number of the control node that passed the request on; absent: an agent waits.
    relay_id: Option<u64>,
    deadline: MonotonicTime,
}

/// Quota requests under way. They are passed on once: the agent itself sends a lost one again,
/// under the same number, which the leader answers with the same grant.
#[derive(Debug, Default)]
pub struct QuotaRelay {
    waiters: BTreeMap<Ticket, QuotaWaiter>,
}

impl QuotaRelay {
    /// Forgets requests that nobody will answer any more.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.waiters.retain(|_, waiter| waiter.deadline > now);
    }

    /// A link ended.
    pub fn forget_link(&mut self, link: LinkId) {
        self.waiters.retain(|_, waiter| waiter.link != link);
    }
}

impl Gateway {
    /// Takes a request of this node itself.
    pub(super) fn submit(
        &mut self,
        now: MonotonicTime,
        origin: Origin,
        request: ShardRequest,
        patience: Duration,
    ) {
        self.pending.submit(now, origin, request, patience);
    }

    /// Takes a request from a link.
    pub(super) fn take_request(&mut self, now: MonotonicTime, link: LinkId, request: ShardRequest) {
        let origin = Origin::Link {
            link,
            request_id: request.request_id,
        };
        if request.hops >= MAX_HOPS {
            self.pending
                .submit_forwarded(now, origin, request, AGENT_PATIENCE);
        } else {
            self.pending.submit(now, origin, request, AGENT_PATIENCE);
        }
    }

    /// Sends what is due.
    pub(super) fn send_due(&mut self, now: MonotonicTime) {
        for attempt in self.pending.take_due(now) {
            self.send_attempt(now, attempt);
        }
    }

    /// An answer from a shard of this node or from another node.
    pub(super) fn handle_reply(&mut self, now: MonotonicTime, ticket: Ticket, reply: ShardReply) {
        if let Some(settled) = self.pending.answer(now, ticket, reply) {
            self.settle(now, settled);
        }
    }

    /// Answers what waited too long.
    pub(super) fn settle_overdue(&mut self, now: MonotonicTime) {
        for settled in self.pending.take_overdue(now) {
            self.settle(now, settled);
        }
    }

    /// A replica wants its leader to confirm a read.
    pub(super) fn ask_leader(&mut self, now: MonotonicTime, shard: ShardId, read: u64) {
        let request = request_to(shard, shard_request::Kind::ReadIndex(ReadIndex {}));
        self.submit(now, Origin::Read { read }, request, READ_PATIENCE);
    }

    /// An agent asks for quota.
    pub(super) fn handle_quota_request(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        request: QuotaRequest,
    ) {
        self.links.set_agent(link);
        let ticket = self.wait_for_quota(now, link, None);
        let shard = ShardId(request.shard);
        let standing = self.standings.get(&shard);
        if standing.is_some_and(|standing| standing.leads) {
            self.tell_shard(shard, ShardInput::Quota { ticket, request });
            return;
        }
        let leader = standing.map_or(NodeId::NONE, |standing| standing.leader);
        let request_id = request.request_id;
        let relayed = RelayedQuotaRequest {
            relay_id: ticket,
            request: Some(request),
        };
        let sent = self.send_to_node(leader, frame::Body::RelayedQuotaRequest(relayed));
        if !sent {
            let reply = quota_refusal(shard, request_id, ResultCode::NoLeader);
            self.handle_quota_reply(ticket, reply);
        }
    }

    /// Another control node passes an agent's request on.
    pub(super) fn handle_relayed_quota_request(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        relayed: RelayedQuotaRequest,
    ) {
        let Some(request) = relayed.request else {
            return;
        };
        let ticket = self.wait_for_quota(now, link, Some(relayed.relay_id));
        let shard = ShardId(request.shard);
        if self.standings.contains_key(&shard) {
            self.tell_shard(shard, ShardInput::Quota { ticket, request });
            return;
        }
        let reply = quota_refusal(shard, request.request_id, ResultCode::ShardUnknown);
        self.handle_quota_reply(ticket, reply);
    }

    /// An answer to a quota request that waits here.
    pub(super) fn handle_quota_reply(&mut self, ticket: Ticket, reply: QuotaReply) {
        let Some(waiter) = self.quota.waiters.remove(&ticket) else {
            return;
        };
        let body = match waiter.relay_id {
            None => frame::Body::QuotaReply(reply),
            Some(relay_id) => frame::Body::RelayedQuotaReply(RelayedQuotaReply {
                relay_id,
                reply: Some(reply),
            }),
        };
        self.send(waiter.link, body);
    }

    fn wait_for_quota(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        relay_id: Option<u64>,
    ) -> Ticket {
        let ticket = self.pending.next_ticket();
        let waiter = QuotaWaiter {
            link,
            relay_id,
            deadline: now + QUOTA_PATIENCE,
        };
        self.quota.waiters.insert(ticket, waiter);
        ticket
    }

    fn send_attempt(&mut self, now: MonotonicTime, attempt: Attempt) {
        let shard = shard_of(&attempt.request);
        let ticket = attempt.ticket;
        let forwarded = attempt.request.hops >= MAX_HOPS;
        let standing = self.standings.get(&shard);
        let leads = standing.is_some_and(|standing| standing.leads);
        if leads || forwarded && standing.is_some() {
            let request = attempt.request;
            self.tell_shard(shard, ShardInput::Request { ticket, request });
            return;
        }
        if forwarded {
            let code = ResultCode::ShardUnknown;
            let reply = super::pending::refusal(&attempt.request, code, NodeId::NONE);
            self.handle_reply(now, ticket, reply);
            return;
        }
        let mut request = attempt.request.clone();
        request.hops += 1;
        let target = self.target_of(shard, &attempt);
        let body = frame::Body::ShardRequest(request);
        let sent = target.is_some_and(|node| self.send_to_node(node, body));
        if !sent {
            self.pending.postpone(now, ticket);
        }
    }

    /// Where an attempt goes: the leader that the last answer named, else the one that this
    /// node's replica knows, else the connected nodes in turn.
    fn target_of(&self, shard: ShardId, attempt: &Attempt) -> Option<NodeId> {
        let own = self.file.identity();
        let known = self.standings.get(&shard);
        let known = known.map_or(NodeId::NONE, |standing| standing.leader);
        let named = [attempt.hint, known];
        let named = named
            .into_iter()
            .find(|node| node.is_some() && *node != own && self.links.to_node(*node).is_some());
        if named.is_some() {
            return named;
        }
        if self.standings.contains_key(&shard) {
            // A replica here will learn the leader; asking around would only add load.
            return None;
        }
        let nodes: Vec<NodeId> = self.links.nodes().collect();
        let count = u32::try_from(nodes.len()).unwrap_or(u32::MAX).max(1);
        let turn = usize::try_from(attempt.attempts % count).unwrap_or(0);
        nodes.get(turn).copied()
    }

    fn settle(&mut self, now: MonotonicTime, settled: Settled) {
        let Settled { origin, mut reply } = settled;
        match origin {
            Origin::Link { link, request_id } => {
                reply.request_id = request_id;
                self.send(link, frame::Body::ShardReply(reply));
            }
            Origin::Operator { request } => self.operator_answered(request, reply),
            Origin::Touch(touched) => self.touch_answered(&touched, &reply),
            Origin::OwnSession => self.own_session_answered(&reply),
            Origin::Registration => self.registration_answered(now),
            Origin::MemberList => {
                if let Some(shard_reply::Kind::State(state)) = &reply.kind {
                    self.member_list_read(now, state);
                }
            }
            Origin::Read { read } => self.read_answered(&reply, read),
        }
    }

    fn read_answered(&mut self, reply: &ShardReply, read: u64) {
        let index = match reply.kind {
            Some(shard_reply::Kind::ReadIndex(index)) if is_ok(reply.code) => Some(index),
            _ => None,
        };
        let shard = ShardId(reply.shard);
        if self.standings.contains_key(&shard) {
            self.tell_shard(shard, ShardInput::LeaderIndex { read, index });
        }
    }
}

fn quota_refusal(shard: ShardId, request_id: u64, code: ResultCode) -> QuotaReply {
    QuotaReply {
        shard: shard.0,
        request_id,
        code: code.number(),
        term: 0,
        grants: Vec::new(),
    }
}
