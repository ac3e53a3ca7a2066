//! Requests to the leaders of shards: accepted, forwarded and answered.

use millford_api::internal::{
    QuotaReply, QuotaRequest, ReadIndex, RelayedQuotaReply, RelayedQuotaRequest, ShardReply,
    ShardRequest, frame, shard_reply, shard_request,
};
use millford_core::{MonotonicTime, NodeId, ResultCode, ShardId};

use super::Gateway;
use crate::gateway::pending_requests::{
    Attempt, CompletedRequest, Origin, is_ok, refusal, request_to, shard_of,
};
use crate::link::LinkId;
use crate::shard::ShardInput;
use crate::shard::input::CorrelationId;
use crate::timing::{AGENT_REQUEST_TIMEOUT, READ_CONFIRMATION_TIMEOUT};

/// Longest chain of nodes that forward a request: one that was forwarded is not forwarded again.
const MAX_HOPS: u32 = 1;

impl Gateway {
    /// Accepts a request from a link.
    pub(super) fn accept_request(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        request: ShardRequest,
    ) {
        let origin = Origin::Link {
            link,
            request_id: request.request_id,
        };
        if request.hops >= MAX_HOPS {
            self.pending
                .submit_forwarded(now, origin, request, AGENT_REQUEST_TIMEOUT);
        } else {
            self.pending
                .submit(now, origin, request, AGENT_REQUEST_TIMEOUT);
        }
    }

    /// Sends the requests whose next attempt is due.
    pub(super) fn send_due(&mut self, now: MonotonicTime) {
        for attempt in self.pending.take_due(now) {
            self.send_attempt(now, attempt);
        }
    }

    /// Handles a reply from a shard of this node or from another node.
    pub(super) fn handle_reply(
        &mut self,
        now: MonotonicTime,
        correlation_id: CorrelationId,
        reply: ShardReply,
    ) {
        if let Some(completed) = self.pending.answer(now, correlation_id, reply) {
            self.complete(now, completed);
        }
    }

    /// Answers the requests whose deadline has passed.
    pub(super) fn complete_overdue(&mut self, now: MonotonicTime) {
        for completed in self.pending.take_overdue(now) {
            self.complete(now, completed);
        }
    }

    /// Requests a read index from the shard's leader on behalf of a replica of this node.
    pub(super) fn confirm_read_at_leader(&mut self, now: MonotonicTime, shard: ShardId, read: u64) {
        let request = request_to(shard, shard_request::Kind::ReadIndex(ReadIndex {}));
        self.pending.submit(
            now,
            Origin::Read { read },
            request,
            READ_CONFIRMATION_TIMEOUT,
        );
    }

    /// Passes an agent's quota request to the tenant's leader, on this node or another one.
    pub(super) fn handle_quota_request(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        request: QuotaRequest,
    ) {
        self.links.set_agent(link);
        let correlation_id = self.wait_for_quota(now, link, None);
        let shard = ShardId(request.shard);
        if self.replicas.leads(shard) {
            let input = ShardInput::Quota {
                correlation_id,
                request,
            };
            self.outbox.send_to_shard(shard, input);
            return;
        }
        let leader = self.replicas.leader_of(shard);
        let request_id = request.request_id;
        let relayed = RelayedQuotaRequest {
            relay_id: correlation_id,
            request: Some(request),
        };
        let sent = self.send_to_node(leader, frame::Body::RelayedQuotaRequest(relayed));
        if !sent {
            let reply = quota_refusal(shard, request_id, ResultCode::NoLeader);
            self.handle_quota_reply(correlation_id, reply);
        }
    }

    /// Handles an agent's quota request that another control node forwarded.
    pub(super) fn handle_relayed_quota_request(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        relayed: RelayedQuotaRequest,
    ) {
        let Some(request) = relayed.request else {
            return;
        };
        let correlation_id = self.wait_for_quota(now, link, Some(relayed.relay_id));
        let shard = ShardId(request.shard);
        if self.replicas.holds(shard) {
            self.outbox.send_to_shard(
                shard,
                ShardInput::Quota {
                    correlation_id,
                    request,
                },
            );
            return;
        }
        let reply = quota_refusal(shard, request.request_id, ResultCode::ShardUnknown);
        self.handle_quota_reply(correlation_id, reply);
    }

    /// Returns the reply to a quota request to the link that it came from.
    pub(super) fn handle_quota_reply(&mut self, correlation_id: CorrelationId, reply: QuotaReply) {
        let Some(waiter) = self.quota.take(correlation_id) else {
            return;
        };
        let body = match waiter.relay_id {
            None => frame::Body::QuotaReply(reply),
            Some(relay_id) => frame::Body::RelayedQuotaReply(RelayedQuotaReply {
                relay_id,
                reply: Some(reply),
            }),
        };
        self.outbox.send(waiter.link, body);
    }

    fn wait_for_quota(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        relay_id: Option<u64>,
    ) -> CorrelationId {
        let correlation_id = self.pending.next_correlation_id();
        self.quota.insert(now, correlation_id, link, relay_id);
        correlation_id
    }

    fn send_attempt(&mut self, now: MonotonicTime, attempt: Attempt) {
        let shard = shard_of(&attempt.request);
        let correlation_id = attempt.correlation_id;
        let forwarded = attempt.request.hops >= MAX_HOPS;
        let leads = self.replicas.leads(shard);
        if leads || forwarded && self.replicas.holds(shard) {
            let request = attempt.request;
            self.outbox.send_to_shard(
                shard,
                ShardInput::Request {
                    correlation_id,
                    request,
                },
            );
            return;
        }
        if forwarded {
            let code = ResultCode::ShardUnknown;
            let reply = refusal(&attempt.request, code, NodeId::NONE);
            self.handle_reply(now, correlation_id, reply);
            return;
        }
        let mut request = attempt.request.clone();
        request.hops += 1;
        let target = self.target_of(shard, &attempt);
        let body = frame::Body::ShardRequest(request);
        let sent = target.is_some_and(|node| self.send_to_node(node, body));
        if !sent {
            self.pending.postpone(now, correlation_id);
        }
    }

    /// Chooses the node for an attempt: the leader named by the last reply, else the leader known
    /// to this node's replica, else the connected nodes in turn.
    fn target_of(&self, shard: ShardId, attempt: &Attempt) -> Option<NodeId> {
        let own = self.store.identity();
        let named = [attempt.hint, self.replicas.leader_of(shard)];
        let named = named
            .into_iter()
            .find(|node| node.is_some() && *node != own && self.links.to_node(*node).is_some());
        if named.is_some() {
            return named;
        }
        if self.replicas.holds(shard) && self.decommission.is_none() {
            // This node's replica will learn of the new leader; trying every node would only add load. The replica of a
            // removed identity may never learn of it.
            return None;
        }
        let nodes: Vec<NodeId> = self.links.nodes().collect();
        let count = u32::try_from(nodes.len()).unwrap_or(u32::MAX).max(1);
        let turn = usize::try_from(attempt.attempts % count).unwrap_or(0);
        nodes.get(turn).copied()
    }

    fn complete(&mut self, now: MonotonicTime, completed: CompletedRequest) {
        let CompletedRequest { origin, mut reply } = completed;
        match origin {
            Origin::Link { link, request_id } => {
                reply.request_id = request_id;
                self.outbox.send(link, frame::Body::ShardReply(reply));
            }
            Origin::Operator { request } => self.operator_answered(request, reply),
            Origin::SessionRenewals(renewed) => self.renewals_answered(&renewed, &reply),
            Origin::OwnSession => self.own_session.answered(&reply),
            Origin::Registration => self.members.registration_answered(now),
            Origin::MemberList => {
                if let Some(shard_reply::Kind::State(state)) = &reply.kind {
                    self.member_list_read(now, state);
                }
            }
            Origin::Decommission => self.decommission_status_read(&reply),
            Origin::Read { read } => self.read_answered(&reply, read),
        }
    }

    fn read_answered(&mut self, reply: &ShardReply, read: u64) {
        let index = match reply.kind {
            Some(shard_reply::Kind::ReadIndex(index)) if is_ok(reply.code) => Some(index),
            _ => None,
        };
        let shard = ShardId(reply.shard);
        if self.replicas.holds(shard) {
            self.outbox
                .send_to_shard(shard, ShardInput::LeaderIndex { read, index });
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
