//! Requests under way to the leaders of shards.

use std::collections::BTreeMap;

use millford_api::internal::{SessionRenewal, ShardReply, ShardRequest, shard_request};
use millford_core::{Duration, MonotonicTime, NodeId, ResultCode, ShardId};

use crate::link::LinkId;
use crate::shard::input::CorrelationId;
use crate::timing::{RESEND, RETRY_HINTED, RETRY_NO_LEADER};

/// Who waits for the answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// An agent, or another control node that forwarded it.
    Link {
        /// Its link.
        link: LinkId,
        /// Its number of the request.
        request_id: u64,
    },
    /// An operator's request.
    Operator {
        /// Number of the operator's request.
        request: u64,
    },
    /// This node's own report of heartbeats.
    SessionRenewals(Vec<SessionRenewal>),
    /// This node's own session.
    OwnSession,
    /// This node checks the list of control nodes.
    MemberList,
    /// This node registers itself; nobody looks at the answer.
    Registration,
    /// A replica of this node wants its leader to confirm a read.
    Read {
        /// Number of the read in its shard.
        read: u64,
    },
}

/// How often a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryPolicy {
    /// Again and again, until it is answered or its deadline passes.
    UntilDeadline,
    /// Once: another node forwarded it and retries it itself.
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

/// A request to be sent now.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number for the answer.
    pub correlation_id: CorrelationId,
    /// The request; its number is the correlation id.
    pub request: ShardRequest,
    /// The leader that the last answer named.
    pub hint: NodeId,
    /// How many attempts were made before.
    pub attempts: u32,
}

/// A request that is answered.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// Who waits.
    pub origin: Origin,
    /// The answer.
    pub reply: ShardReply,
}

/// Requests by correlation id, tried until answered or overdue.
///
/// Trying again is safe: every request either reads or carries what makes a repeated command
/// harmless (order id, attempt id, boot id, epoch).
#[derive(Debug, Default)]
pub struct PendingRequests {
    next: CorrelationId,
    pending: BTreeMap<CorrelationId, Pending>,
    /// No request is due before this time.
    next_due: MonotonicTime,
}

impl PendingRequests {
    /// Takes a request; it is due at once.
    pub fn submit(
        &mut self,
        now: MonotonicTime,
        origin: Origin,
        request: ShardRequest,
        timeout: Duration,
    ) -> CorrelationId {
        self.insert(now, origin, request, timeout, RetryPolicy::UntilDeadline)
    }

    /// Takes a request that another node forwarded: it is tried on this node only, once, so that
    /// no request travels in circles.
    pub fn submit_forwarded(
        &mut self,
        now: MonotonicTime,
        origin: Origin,
        request: ShardRequest,
        timeout: Duration,
    ) -> CorrelationId {
        self.insert(now, origin, request, timeout, RetryPolicy::Once)
    }

    /// Number of requests under way.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no request is under way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// A number for an answer that another part waits for.
    pub fn next_correlation_id(&mut self) -> CorrelationId {
        self.next += 1;
        self.next
    }

    /// Takes an answer. Returns the completed request, or nothing when it will be tried again.
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
            let delay = if named { RETRY_HINTED } else { RETRY_NO_LEADER };
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

    /// Requests that are due now; each is due again later unless answered.
    pub fn take_due(&mut self, now: MonotonicTime) -> Vec<Attempt> {
        if now < self.next_due {
            return Vec::new();
        }
        let due = self
            .pending
            .iter_mut()
            .filter(|(_, pending)| pending.next_attempt <= now && !pending.is_spent());
        let attempts = due.map(|(correlation_id, pending)| {
            pending.next_attempt = now + RESEND;
            pending.attempts += 1;
            Attempt {
                correlation_id: *correlation_id,
                request: pending.request.clone(),
                hint: pending.hint,
                attempts: pending.attempts - 1,
            }
        });
        let attempts = attempts.collect();
        let open = self.pending.values().filter(|pending| !pending.is_spent());
        let next = open.map(|pending| pending.next_attempt).min();
        self.next_due = next.unwrap_or(now + RESEND);
        attempts
    }

    /// No node could be found for the attempt: it is due again soon.
    pub fn postpone(&mut self, now: MonotonicTime, correlation_id: CorrelationId) {
        if let Some(pending) = self.pending.get_mut(&correlation_id) {
            pending.next_attempt = now + RETRY_NO_LEADER;
            pending.hint = NodeId::NONE;
            self.next_due = self.next_due.min(pending.next_attempt);
        }
    }

    /// Removes the requests whose time is over, with the answer that says so.
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

    /// A link closed: nobody waits there any more.
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
    fn is_spent(&self) -> bool {
        self.retry == RetryPolicy::Once && self.attempts > 0
    }
}

/// An answer that carries a code only.
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

/// Shard that a request is for.
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

/// A request to a shard's leader.
#[must_use]
pub fn request_to(shard: ShardId, kind: shard_request::Kind) -> ShardRequest {
    ShardRequest {
        shard: shard.0,
        kind: Some(kind),
        ..ShardRequest::default()
    }
}

/// Whether a code says that everything went well.
#[must_use]
pub fn is_ok(code: u32) -> bool {
    code == ResultCode::Ok.number()
}
