//! Requests in flight to the leaders of shards, with their retries.

use std::collections::BTreeMap;

use millford_api::internal::{SessionRenewal, ShardReply, ShardRequest, shard_request};
use millford_core::{Duration, MonotonicTime, NodeId, ResultCode, ShardId};

use crate::link::LinkId;
use crate::shard::input::CorrelationId;
use crate::timing::{RESEND_TIMEOUT, RETRY_DELAY_HINTED, RETRY_DELAY_NO_LEADER};

/// The requester of a request, to which the reply is returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// An agent, or another control node that forwarded the request.
    Link {
        /// Link on which the request arrived.
        link: LinkId,
        /// The requester's own number of the request.
        request_id: u64,
    },
    /// An operator's request.
    Operator {
        /// Number of the operator's request.
        request: u64,
    },
    /// This node renews the sessions whose heartbeats it received.
    SessionRenewals(Vec<SessionRenewal>),
    /// This node opens its own session.
    OwnSession,
    /// This node reads the list of control nodes.
    MemberList,
    /// This node, whose identity the cluster removed, asks whether a shard still needs its replica.
    Decommission,
    /// This node registers itself. The content of the reply is ignored: the node's copy of the list
    /// shows whether it succeeded.
    Registration,
    /// A replica of this node needs its leader to confirm a read.
    Read {
        /// Number of the read in its shard.
        read: u64,
    },
}

/// Whether a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryPolicy {
    /// Retry until the request is answered or its deadline passes.
    UntilDeadline,
    /// Send once: the node that forwarded the request does the retries.
    Once,
}

#[derive(Debug)]
struct Pending {
    origin: Origin,
    request: ShardRequest,
    deadline: MonotonicTime,
    next_attempt: MonotonicTime,
    hint: NodeId,
    attempts: u32,
    retry: RetryPolicy,
}

/// One attempt to send a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number that the reply carries.
    pub correlation_id: CorrelationId,
    /// The request to send; its `request_id` is the correlation id.
    pub request: ShardRequest,
    /// The leader named by the last reply; [`NodeId::NONE`] if none was.
    pub hint: NodeId,
    /// Number of earlier attempts.
    pub attempts: u32,
}

/// A request with its final reply.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// The requester that waits for the reply.
    pub origin: Origin,
    /// The reply, or a refusal with `ControlTimeout` if the deadline passed.
    pub reply: ShardReply,
}

/// Requests by correlation id, retried until they are answered or their deadline passes.
///
/// Retries are safe: every request either only reads or carries an id that makes the command
/// idempotent (order id, attempt id, boot id, epoch).
#[derive(Debug, Default)]
pub struct PendingRequests {
    last_correlation_id: CorrelationId,
    pending: BTreeMap<CorrelationId, Pending>,
    /// No request is due before this time.
    next_due: MonotonicTime,
}

impl PendingRequests {
    /// Adds a request, which is due at once.
    pub fn submit(
        &mut self,
        now: MonotonicTime,
        origin: Origin,
        request: ShardRequest,
        timeout: Duration,
    ) -> CorrelationId {
        self.insert(now, origin, request, timeout, RetryPolicy::UntilDeadline)
    }

    /// Adds a request that another node forwarded. It is tried once and only on this node, so that
    /// no request is forwarded in a loop.
    pub fn submit_forwarded(
        &mut self,
        now: MonotonicTime,
        origin: Origin,
        request: ShardRequest,
        timeout: Duration,
    ) -> CorrelationId {
        self.insert(now, origin, request, timeout, RetryPolicy::Once)
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no request is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// A new correlation id, also for the replies that other parts wait for.
    pub fn next_correlation_id(&mut self) -> CorrelationId {
        self.last_correlation_id += 1;
        self.last_correlation_id
    }

    /// Handles a reply. Returns the completed request, or none if the request will be retried.
    pub fn answer(
        &mut self,
        now: MonotonicTime,
        correlation_id: CorrelationId,
        reply: ShardReply,
    ) -> Option<CompletedRequest> {
        let pending = self.pending.get_mut(&correlation_id)?;
        let retried = is_misdirected(reply.code)
            && pending.retry == RetryPolicy::UntilDeadline
            && now < pending.deadline;
        if retried {
            pending.hint = NodeId(reply.leader_hint);
            let named = pending.hint.is_some();
            let delay = if named {
                RETRY_DELAY_HINTED
            } else {
                RETRY_DELAY_NO_LEADER
            };
            pending.next_attempt = now + delay;
            self.next_due = self.next_due.min(now + delay);
            return None;
        }
        let pending = self.pending.remove(&correlation_id)?;
        Some(CompletedRequest {
            origin: pending.origin,
            reply,
        })
    }

    /// Takes the attempts that are due now. Each request is due again after [`RESEND_TIMEOUT`]
    /// unless it is answered before.
    pub fn take_due(&mut self, now: MonotonicTime) -> Vec<Attempt> {
        if now < self.next_due {
            return Vec::new();
        }
        let due = self
            .pending
            .iter_mut()
            .filter(|(_, pending)| pending.next_attempt <= now && !pending.is_exhausted());
        let attempts = due.map(|(correlation_id, pending)| {
            pending.next_attempt = now + RESEND_TIMEOUT;
            pending.attempts += 1;
            Attempt {
                correlation_id: *correlation_id,
                request: pending.request.clone(),
                hint: pending.hint,
                attempts: pending.attempts - 1,
            }
        });
        let attempts = attempts.collect();
        let open = self
            .pending
            .values()
            .filter(|pending| !pending.is_exhausted());
        let next = open.map(|pending| pending.next_attempt).min();
        self.next_due = next.unwrap_or(now + RESEND_TIMEOUT);
        attempts
    }

    /// Schedules a retry for an attempt that could not be sent to any node.
    pub fn postpone(&mut self, now: MonotonicTime, correlation_id: CorrelationId) {
        if let Some(pending) = self.pending.get_mut(&correlation_id) {
            pending.next_attempt = now + RETRY_DELAY_NO_LEADER;
            pending.hint = NodeId::NONE;
            self.next_due = self.next_due.min(pending.next_attempt);
        }
    }

    /// Removes the requests whose deadline has passed, each with a `ControlTimeout` refusal.
    pub fn take_overdue(&mut self, now: MonotonicTime) -> Vec<CompletedRequest> {
        let overdue: Vec<CorrelationId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(correlation_id, _)| *correlation_id)
            .collect();
        let removed = overdue
            .into_iter()
            .filter_map(|correlation_id| self.pending.remove(&correlation_id));
        removed
            .map(|pending| CompletedRequest {
                reply: refusal(&pending.request, ResultCode::ControlTimeout, NodeId::NONE),
                origin: pending.origin,
            })
            .collect()
    }

    /// Drops the requests of a closed link, whose replies could not be delivered.
    pub fn forget_link(&mut self, ended: LinkId) {
        self.pending.retain(
            |_, pending| !matches!(pending.origin, Origin::Link { link, .. } if link == ended),
        );
    }

    fn insert(
        &mut self,
        now: MonotonicTime,
        origin: Origin,
        mut request: ShardRequest,
        timeout: Duration,
        retry: RetryPolicy,
    ) -> CorrelationId {
        let correlation_id = self.next_correlation_id();
        request.request_id = correlation_id;
        let pending = Pending {
            origin,
            request,
            deadline: now + timeout,
            next_attempt: now,
            hint: NodeId::NONE,
            attempts: 0,
            retry,
        };
        self.pending.insert(correlation_id, pending);
        self.next_due = self.next_due.min(now);
        correlation_id
    }
}

impl Pending {
    fn is_exhausted(&self) -> bool {
        self.retry == RetryPolicy::Once && self.attempts > 0
    }
}

/// A reply with a result code only.
#[must_use]
pub fn refusal(request: &ShardRequest, code: ResultCode, leader: NodeId) -> ShardReply {
    ShardReply {
        shard: request.shard,
        request_id: request.request_id,
        code: code.number(),
        leader_hint: leader.0,
        kind: None,
    }
}

/// The shard that a request is addressed to.
#[must_use]
pub fn shard_of(request: &ShardRequest) -> ShardId {
    ShardId(request.shard)
}

fn is_misdirected(code: u32) -> bool {
    let misdirected = [
        ResultCode::NotLeader,
        ResultCode::NoLeader,
        ResultCode::ShardUnknown,
        ResultCode::NotFormed,
    ];
    misdirected.iter().any(|known| known.number() == code)
}

/// Builds a request to a shard's leader.
#[must_use]
pub fn request_to(shard: ShardId, kind: shard_request::Kind) -> ShardRequest {
    ShardRequest {
        shard: shard.0,
        kind: Some(kind),
        ..ShardRequest::default()
    }
}

/// Whether a result code means success.
#[must_use]
pub fn is_ok(code: u32) -> bool {
    code == ResultCode::Ok.number()
}
