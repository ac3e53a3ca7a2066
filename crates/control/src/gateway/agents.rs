//! Agents and control nodes whose heartbeats this node receives.

use std::collections::BTreeMap;

use millford_api::internal::{Heartbeat, SessionRenewal};
use millford_core::{Duration, MonotonicTime, ShardId, ShardLayout, session_key};

use crate::link::LinkId;

/// The list of control nodes is sent again after this long, though unchanged.
const MEMBER_LIST_REPEAT_PERIOD: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct MemberSession {
    link: Option<LinkId>,
    epoch: u64,
    applied_revision: u64,
    renewal_due: bool,
    closed: bool,
}

/// Which list of control nodes was last sent on a link.
#[derive(Debug, Default)]
pub(super) struct SentMemberList {
    digest: u64,
    at: MonotonicTime,
}

/// Sessions whose heartbeats arrive here, to be renewed at the leaders of their shards.
#[derive(Debug, Default)]
pub(super) struct AgentTable {
    members: BTreeMap<String, MemberSession>,
    lists: BTreeMap<LinkId, SentMemberList>,
}

impl AgentTable {
    /// A heartbeat arrived. Returns whether the session lives as far as this node knows.
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

    /// The leader says that these sessions do not exist any more.
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

    /// Whether the leader closed this session.
    pub(super) fn is_closed(&self, member: &str, epoch: u64) -> bool {
        let entry = self.members.get(member);
        entry.is_some_and(|entry| entry.epoch > epoch || entry.epoch == epoch && entry.closed)
    }

    /// Renewals of the sessions with a heartbeat since the last call, by shard.
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

    /// Whether a list of control nodes is due on a link: when it changed, and now and then, so
    /// that heartbeats stay small.
    pub(super) fn member_list_due(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        digest: u64,
    ) -> bool {
        let sent = self.lists.get(&link);
        let known = sent.is_some_and(|sent| {
            sent.digest == digest && now.since(sent.at) < MEMBER_LIST_REPEAT_PERIOD
        });
        if !known {
            self.lists.insert(link, SentMemberList { digest, at: now });
        }
        !known
    }

    /// A link closed: its members' heartbeats arrive elsewhere from now on.
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
