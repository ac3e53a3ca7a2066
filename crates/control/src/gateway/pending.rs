//! Requests under way to the leaders of shards.

use std::collections::BTreeMap;

use millford_api::internal::{SessionRenewal, ShardReply, ShardRequest};
use millford_core::{Duration, MonotonicTime, NodeId, ResultCode, ShardId};

use crate::link::LinkId;
use crate::shard::input::Ticket;
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
    Touch(Vec<SessionRenewal>),
    /// This node's own session.
    OwnSession,
    /// This node checks the list of control nodes.
    MemberList,
    /// This node registers itself; nobody looks at the answer.
    Registration,
    /// A replica of this node asks its leader to confirm a read.
    Read {
        /// Number of the read in its shard.
        read: u64,
    },
}

#[derive(Debug)]
struct Pending {
    origin: Origin,
    request: ShardRequest,
    deadline: MonotonicTime,
    next_attempt: MonotonicTime,
    hint: NodeId,
    attempts: u32,
    single: bool,
}

/// A request to be sent now.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number for the answer.
    pub ticket: Ticket,
    /// The request; its number is the ticket.
    pub request: ShardRequest,
    /// The leader that the last answer named.
    pub hint: NodeId,
    /// How many attempts were made before.
    pub attempts: u32,
}

/// A request that is answered.
#[derive(Clone, Debug)]
pub struct Settled {
    /// Who waits.
    pub origin: Origin,
    /// The answer.
    pub reply: ShardReply,
}

/// Requests by ticket, tried until answered or overdue.
///
/// Trying again is safe: every request either reads or carries what makes a repeated command
/// harmless (order id, attempt id, boot id, epoch).
#[derive(Debug, Default)]
pub struct PendingRequests {
    next: Ticket,
    pending: BTreeMap<Ticket, Pending>,
    /// No request is due before this time.
    quiet_until: MonotonicTime,
}

impl PendingRequests {
    /// Takes a request; it is due at once.
    pub fn submit(
        &mut self,
        now: MonotonicTime,
        origin: Origin,
        request: ShardRequest,
        patience: Duration,
    ) -> Ticket {
        self.insert(now, origin, request, patience, false)
    }

    /// Takes a request that another node forwarded: it is tried on this node only, once, so that
    /// no request travels in circles.
    pub fn submit_forwarded(
        &mut self,
        now: MonotonicTime,
        origin: Origin,
        request: ShardRequest,
        patience: Duration,
    ) -> Ticket {
        self.insert(now, origin, request, patience, true)
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

    /// A number for an answer that is kept elsewhere.
    pub fn next_ticket(&mut self) -> Ticket {
        self.next += 1;
        self.next
    }

    /// Takes an answer. Gives the settled request, or nothing when it will be tried again.
    pub fn answer(
        &mut self,
        now: MonotonicTime,
        ticket: Ticket,
        reply: ShardReply,
    ) -> Option<Settled> {
        let pending = self.pending.get_mut(&ticket)?;
        let retry = is_misdirected(reply.code) && !pending.single && now < pending.deadline;
        if retry {
            pending.hint = NodeId(reply.leader_hint);
            let named = pending.hint.is_some();
            let delay = if named { RETRY_HINTED } else { RETRY_NO_LEADER };
            pending.next_attempt = now + delay;
            self.quiet_until = self.quiet_until.min(now + delay);
            return None;
        }
        let pending = self.pending.remove(&ticket)?;
        Some(Settled {
            origin: pending.origin,
            reply,
        })
    }

    /// Requests that are due now; each is due again later unless answered.
    pub fn take_due(&mut self, now: MonotonicTime) -> Vec<Attempt> {
        if now < self.quiet_until {
            return Vec::new();
        }
        let due = self
            .pending
            .iter_mut()
            .filter(|(_, pending)| pending.next_attempt <= now && !pending.is_spent());
        let attempts = due.map(|(ticket, pending)| {
            pending.next_attempt = now + RESEND;
            pending.attempts += 1;
            Attempt {
                ticket: *ticket,
                request: pending.request.clone(),
                hint: pending.hint,
                attempts: pending.attempts - 1,
            }
        });
        let attempts = attempts.collect();
        let open = self.pending.values().filter(|pending| !pending.is_spent());
        let next = open.map(|pending| pending.next_attempt).min();
        self.quiet_until = next.unwrap_or(now + RESEND);
        attempts
    }

    /// No node could be found for the attempt: it is due again soon.
    pub fn postpone(&mut self, now: MonotonicTime, ticket: Ticket) {
        if let Some(pending) = self.pending.get_mut(&ticket) {
            pending.next_attempt = now + RETRY_NO_LEADER;
            pending.hint = NodeId::NONE;
            self.quiet_until = self.quiet_until.min(pending.next_attempt);
        }
    }

    /// Removes the requests whose time is over, with the answer that says so.
    pub fn take_overdue(&mut self, now: MonotonicTime) -> Vec<Settled> {
        let overdue: Vec<Ticket> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        let removed = overdue
            .into_iter()
            .filter_map(|ticket| self.pending.remove(&ticket));
        removed
            .map(|pending| Settled {
                reply: refusal(&pending.request, ResultCode::ControlTimeout, NodeId::NONE),
                origin: pending.origin,
            })
            .collect()
    }

    /// A link ended: nobody waits there any more.
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
        patience: Duration,
        single: bool,
    ) -> Ticket {
        let ticket = self.next_ticket();
        request.request_id = ticket;
        let pending = Pending {
            origin,
            request,
            deadline: now + patience,
            next_attempt: now,
            hint: NodeId::NONE,
            attempts: 0,
            single,
        };
        self.pending.insert(ticket, pending);
        self.quiet_until = self.quiet_until.min(now);
        ticket
    }
}

impl Pending {
    fn is_spent(&self) -> bool {
        self.single && self.attempts > 0
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
