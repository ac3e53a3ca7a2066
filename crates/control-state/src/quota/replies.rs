//! The last answers to each node, so that a resent request gets the same one.
//!
//! Without that, a lost answer would lose its tokens, and tokens returned by a resent request would
//! be counted twice.
//!
//! # Why an outdated request changes nothing
//! Request ids rise with each request of a session, and a node gives a request up after one lease.
//! A request whose id is not above one that was answered longer ago than that was therefore given
//! up by its node: a relay held it back. Its node has asked again since, so processing it would
//! count the same waiting calls twice; and if it was answered before, what it returns would come
//! back twice.

use std::collections::BTreeMap;

use millford_api::internal::QuotaReply;
use millford_core::{Duration, MonotonicTime};

/// Answers kept for one node.
const KEPT_ANSWERS: usize = 256;

#[derive(Clone, Debug)]
struct Answered {
    at: MonotonicTime,
    reply: QuotaReply,
}

/// One node's session and its last answers by request id.
#[derive(Clone, Debug)]
struct MemberAnswers {
    epoch: u64,
    last_heard: MonotonicTime,
    answers: BTreeMap<u64, Answered>,
    /// Newest request whose answer is kept no longer: requests up to it were given up.
    outdated_to: u64,
}

impl MemberAnswers {
    fn forget_before(&mut self, now: MonotonicTime, kept_for: Duration) {
        let outdated_to = &mut self.outdated_to;
        self.answers.retain(|request_id, answered| {
            let kept = now.since(answered.at) < kept_for;
            if !kept {
                *outdated_to = (*outdated_to).max(*request_id);
            }
            kept
        });
    }
}

/// How a request's epoch stands to the newest one of its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EpochStanding {
    /// The newest known.
    Present,
    /// A newer process of the member than the one known.
    Newer,
    /// Fenced: a newer process has shown up before.
    Older,
}

/// Answers of all nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct Replies {
    members: BTreeMap<String, MemberAnswers>,
}

impl Replies {
    /// Notes the node's epoch.
    pub(super) fn hear(&mut self, now: MonotonicTime, member: &str, epoch: u64) -> EpochStanding {
        let fresh = MemberAnswers {
            epoch,
            last_heard: now,
            answers: BTreeMap::new(),
            outdated_to: 0,
        };
        let known = self
            .members
            .entry(member.to_owned())
            .or_insert_with(|| fresh.clone());
        if epoch < known.epoch {
            return EpochStanding::Older;
        }
        if epoch > known.epoch {
            *known = fresh;
            return EpochStanding::Newer;
        }
        known.last_heard = now;
        EpochStanding::Present
    }

    /// The answer that this request got before.
    pub(super) fn find(&self, member: &str, request_id: u64) -> Option<&QuotaReply> {
        let answered = self.members.get(member)?.answers.get(&request_id)?;
        Some(&answered.reply)
    }

    /// Whether the node has certainly given the request up.
    pub(super) fn is_outdated(&self, member: &str, request_id: u64) -> bool {
        let known = self.members.get(member);
        known.is_some_and(|known| request_id <= known.outdated_to)
    }

    /// Keeps an answer.
    pub(super) fn keep(&mut self, now: MonotonicTime, member: &str, reply: QuotaReply) {
        let Some(known) = self.members.get_mut(member) else {
            return;
        };
        let request_id = reply.request_id;
        known
            .answers
            .insert(request_id, Answered { at: now, reply });
        while known.answers.len() > KEPT_ANSWERS {
            known.answers.pop_first();
        }
    }

    /// Forgets answers older than `kept_for`, and nodes silent for `silent_for`. `kept_for` is no
    /// shorter than the time after which a node gives a request up.
    pub(super) fn sweep(&mut self, now: MonotonicTime, kept_for: Duration, silent_for: Duration) {
        for known in self.members.values_mut() {
            known.forget_before(now, kept_for);
        }
        self.members
            .retain(|_, known| now.since(known.last_heard) < silent_for);
    }
}
