//! The last replies to each node, so that a resent request gets the same one.
//!
//! Without that, a lost reply would lose its tokens, and tokens returned by a resent request would
//! be counted twice.
//!
//! # Why an outdated request changes nothing
//! Request ids rise with each request of a session, and a node gives a request up after one lease.
//! A request whose id is not above one that was answered longer ago than that was therefore given
//! up by its node: a relay delayed it. Its node has sent another one since, so processing it would
//! count the same waiting requests twice; and if it was answered before, what it returns would come
//! back twice.

use std::collections::BTreeMap;

use millford_api::internal::QuotaReply;
use millford_core::{Duration, MonotonicTime};

/// Most replies cached for one node.
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
    /// Newest request whose reply is cached no longer: requests up to it were given up.
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

/// How a request's epoch compares to the newest one of its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EpochStatus {
    /// The newest known.
    Current,
    /// A newer process of the member than the one known.
    Newer,
    /// Fenced: a newer process has appeared before.
    Older,
}

/// Replies to all nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplyCache {
    members: BTreeMap<String, MemberReplies>,
}

impl ReplyCache {
    /// Records a request of a node under this epoch.
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

    /// The reply that this request got before.
    pub(super) fn get(&self, member: &str, request_id: u64) -> Option<&QuotaReply> {
        let cached = self.members.get(member)?.replies.get(&request_id)?;
        Some(&cached.reply)
    }

    /// Whether the node has certainly given the request up.
    pub(super) fn is_outdated(&self, member: &str, request_id: u64) -> bool {
        let known = self.members.get(member);
        known.is_some_and(|known| request_id <= known.outdated_up_to)
    }

    /// Caches a reply to a node of which a request was recorded.
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

    /// Drops replies older than `retention`, and nodes that were inactive for `inactivity_timeout`.
    /// `retention` is no shorter than the time after which a node gives a request up.
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
