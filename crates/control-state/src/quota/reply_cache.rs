//! Cache of the last replies to each node, so that a resent request gets the same reply.
//!
//! Without it, the tokens of a lost reply would be lost, and tokens returned by a resent request
//! would be counted twice.
//!
//! # Why an outdated request is not processed
//! Request ids rise with each request of a session, and a node abandons a request after one lease.
//! If a request's id is not above one that was answered longer ago than a lease, a relay delayed
//! the request and its node has abandoned it. The node has sent another one since, so processing it
//! would count the same waiting requests twice. If it was answered before, the tokens that it
//! returns would also be counted twice.

use std::collections::BTreeMap;

use millford_api::internal::QuotaReply;
use millford_core::{Duration, MonotonicTime};

/// Most cached replies per node; the one with the lowest request id is dropped first.
const MAX_REPLIES_PER_MEMBER: usize = 256;

#[derive(Clone, Debug)]
struct CachedReply {
    sent_at: MonotonicTime,
    reply: QuotaReply,
}

/// One node's session and its last replies by request id.
#[derive(Clone, Debug)]
struct MemberReplies {
    epoch: u64,
    last_contact: MonotonicTime,
    replies: BTreeMap<u64, CachedReply>,
    /// Highest request id whose reply was dropped for its age: the node abandoned all requests up
    /// to it.
    outdated_up_to: u64,
}

impl MemberReplies {
    fn new(epoch: u64, now: MonotonicTime) -> Self {
        Self {
            epoch,
            last_contact: now,
            replies: BTreeMap::new(),
            outdated_up_to: 0,
        }
    }

    fn drop_older_than(&mut self, now: MonotonicTime, retention: Duration) {
        let outdated_up_to = &mut self.outdated_up_to;
        self.replies.retain(|request_id, cached| {
            let retained = now.since(cached.sent_at) < retention;
            if !retained {
                *outdated_up_to = (*outdated_up_to).max(*request_id);
            }
            retained
        });
    }
}

/// Comparison of a request's epoch with the newest known epoch of its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EpochStatus {
    /// The request belongs to the newest known session.
    Current,
    /// The request belongs to a newer session than the newest known one.
    Newer,
    /// The request is fenced, because a newer session has already sent one.
    Older,
}

/// Cached replies and last contacts of all nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplyCache {
    members: BTreeMap<String, MemberReplies>,
}

impl ReplyCache {
    /// Records a request that the member sent in the session with this epoch. A newer epoch drops
    /// the replies of the older session.
    pub(super) fn record_contact(
        &mut self,
        now: MonotonicTime,
        member: &str,
        epoch: u64,
    ) -> EpochStatus {
        let known = self
            .members
            .entry(member.to_owned())
            .or_insert_with(|| MemberReplies::new(epoch, now));
        if epoch < known.epoch {
            return EpochStatus::Older;
        }
        if epoch > known.epoch {
            *known = MemberReplies::new(epoch, now);
            return EpochStatus::Newer;
        }
        known.last_contact = now;
        EpochStatus::Current
    }

    /// Returns the cached reply to this request, if there is one.
    pub(super) fn get(&self, member: &str, request_id: u64) -> Option<&QuotaReply> {
        let cached = self.members.get(member)?.replies.get(&request_id)?;
        Some(&cached.reply)
    }

    /// Whether the node has certainly abandoned the request.
    pub(super) fn is_outdated(&self, member: &str, request_id: u64) -> bool {
        let known = self.members.get(member);
        known.is_some_and(|known| request_id <= known.outdated_up_to)
    }

    /// Caches a reply. It is ignored for a member without a recorded request.
    pub(super) fn insert(&mut self, now: MonotonicTime, member: &str, reply: QuotaReply) {
        let Some(known) = self.members.get_mut(member) else {
            return;
        };
        let request_id = reply.request_id;
        let sent_at = now;
        known
            .replies
            .insert(request_id, CachedReply { sent_at, reply });
        while known.replies.len() > MAX_REPLIES_PER_MEMBER {
            known.replies.pop_first();
        }
    }

    /// Drops replies older than `retention`, and members that sent nothing for
    /// `inactivity_timeout`. `retention` must not be shorter than the time after which a node
    /// abandons a request.
    pub(super) fn sweep(
        &mut self,
        now: MonotonicTime,
        retention: Duration,
        inactivity_timeout: Duration,
    ) {
        for known in self.members.values_mut() {
            known.drop_older_than(now, retention);
        }
        self.members
            .retain(|_, known| now.since(known.last_contact) < inactivity_timeout);
    }
}
