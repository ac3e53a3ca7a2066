//! Sessions of agents and control nodes whose heartbeats this node receives.

use std::collections::BTreeMap;

use millford_api::internal::{Heartbeat, SessionRenewal};
use millford_core::{Duration, MonotonicTime, ShardId, ShardLayout, session_key};

use crate::link::LinkId;

/// Period after which the list of control nodes is sent again on a link although it is unchanged.
const MEMBER_LIST_REPEAT_PERIOD: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct MemberSession {
    link: Option<LinkId>,
    epoch: u64,
    applied_revision: u64,
    renewal_due: bool,
    closed: bool,
}

/// Digest of the list of control nodes last sent on a link, and the time at which it was sent.
#[derive(Debug, Default)]
pub(super) struct SentMemberList {
    digest: u64,
    sent_at: MonotonicTime,
}

/// Sessions whose heartbeats arrive at this node, which renews them at the leaders of their shards.
#[derive(Debug, Default)]
pub(super) struct AgentTable {
    members: BTreeMap<String, MemberSession>,
    lists: BTreeMap<LinkId, SentMemberList>,
}

impl AgentTable {
    /// Records a heartbeat. Returns whether the session is open: neither replaced by a newer one
    /// nor reported as closed by the leader.
    pub(super) fn heartbeat(&mut self, link: Option<LinkId>, heartbeat: &Heartbeat) -> bool {
        if heartbeat.epoch == 0 {
            return false;
        }
        let entry = self
            .members
            .entry(heartbeat.member.clone())
            .or_insert_with(|| MemberSession::new(heartbeat.epoch));
        if heartbeat.epoch < entry.epoch {
            return false;
        }
        if heartbeat.epoch > entry.epoch {
            *entry = MemberSession::new(heartbeat.epoch);
        }
        entry.link = link;
        entry.renewal_due = true;
        entry.applied_revision = heartbeat.applied_revision;
        !entry.closed
    }

    /// The link on which an agent's last heartbeat arrived.
    pub(super) fn link_of(&self, member: &str) -> Option<LinkId> {
        self.members.get(member)?.link
    }

    /// Marks the sessions that the leader reported as closed in its reply to these renewals.
    pub(super) fn closed(&mut self, renewed: &[SessionRenewal], closed_members: &[String]) {
        for renewal in renewed {
            let Some(entry) = self.members.get_mut(&renewal.member) else {
                continue;
            };
            let named = closed_members.contains(&renewal.member);
            if named && entry.epoch == renewal.epoch {
                entry.closed = true;
            }
        }
    }

    /// Whether the session with this epoch was closed by the leader or replaced by a newer one.
    pub(super) fn is_closed(&self, member: &str, epoch: u64) -> bool {
        let entry = self.members.get(member);
        entry.is_some_and(|entry| entry.epoch > epoch || entry.epoch == epoch && entry.closed)
    }

    /// Takes the renewals of the sessions with a heartbeat since the last call, by shard.
    pub(super) fn take_renewals(
        &mut self,
        layout: ShardLayout,
    ) -> BTreeMap<ShardId, Vec<SessionRenewal>> {
        let mut renewals: BTreeMap<ShardId, Vec<SessionRenewal>> = BTreeMap::new();
        for (member, entry) in &mut self.members {
            if !std::mem::take(&mut entry.renewal_due) {
                continue;
            }
            let shard = layout.shard_of(&session_key(member));
            renewals.entry(shard).or_default().push(SessionRenewal {
                member: member.clone(),
                epoch: entry.epoch,
                applied_revision: entry.applied_revision,
            });
        }
        renewals
    }

    /// Whether the list of control nodes is to be sent on a link: only after a change and once per
    /// period, so that heartbeat replies stay small.
    pub(super) fn member_list_due(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        digest: u64,
    ) -> bool {
        let sent = self.lists.get(&link);
        let known = sent.is_some_and(|sent| {
            sent.digest == digest && now.since(sent.sent_at) < MEMBER_LIST_REPEAT_PERIOD
        });
        if !known {
            self.lists.insert(
                link,
                SentMemberList {
                    digest,
                    sent_at: now,
                },
            );
        }
        !known
    }

    /// Drops the sessions of a closed link; their heartbeats continue through another node or link.
    pub(super) fn forget_link(&mut self, ended: LinkId) {
        self.lists.remove(&ended);
        self.members.retain(|_, entry| entry.link != Some(ended));
    }

    /// Drops every session.
    pub(super) fn clear(&mut self) {
        self.members.clear();
    }
}

impl MemberSession {
    fn new(epoch: u64) -> Self {
        Self {
            link: None,
            epoch,
            applied_revision: 0,
            renewal_due: false,
            closed: false,
        }
    }
}
