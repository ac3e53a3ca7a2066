//! Agents and control nodes whose heartbeats this node hears.

use std::collections::BTreeMap;

use millford_api::internal::{Heartbeat, SessionRenewal};
use millford_core::{Duration, MonotonicTime, ShardId, ShardLayout, session_key};

use crate::link::LinkId;

/// The list of control nodes is sent again after this long, though unchanged.
const LIST_REPEATED_AFTER: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Heard {
    link: Option<LinkId>,
    epoch: u64,
    applied_revision: u64,
    heard: bool,
    closed: bool,
}

/// Which list of control nodes was last sent on a link.
#[derive(Debug, Default)]
pub struct ListSent {
    digest: u64,
    at: MonotonicTime,
}

/// Sessions heard here, to be passed on to the leaders of their shards.
#[derive(Debug, Default)]
pub struct AgentTable {
    members: BTreeMap<String, Heard>,
    lists: BTreeMap<LinkId, ListSent>,
}

impl AgentTable {
    /// A heartbeat arrived. Gives whether the session lives as far as this node knows.
    pub fn heartbeat(&mut self, link: Option<LinkId>, heartbeat: &Heartbeat) -> bool {
        if heartbeat.epoch == 0 {
            return false;
        }
        let entry = self
            .members
            .entry(heartbeat.member.clone())
            .or_insert_with(|| Heard::new(heartbeat.epoch));
        if heartbeat.epoch < entry.epoch {
            return false;
        }
        if heartbeat.epoch > entry.epoch {
            *entry = Heard::new(heartbeat.epoch);
        }
        entry.link = link;
        entry.heard = true;
        entry.applied_revision = heartbeat.applied_revision;
        !entry.closed
    }

    /// The link on which an agent was heard last.
    #[must_use]
    pub fn link_of(&self, member: &str) -> Option<LinkId> {
        self.members.get(member)?.link
    }

    /// The leader says that these sessions do not exist any more.
    pub fn closed(&mut self, touched: &[SessionRenewal], closed_members: &[String]) {
        for touch in touched {
            let Some(entry) = self.members.get_mut(&touch.member) else {
                continue;
            };
            let named = closed_members.contains(&touch.member);
            if named && entry.epoch == touch.epoch {
                entry.closed = true;
            }
        }
    }

    /// Whether the leader closed this session.
    #[must_use]
    pub fn is_closed(&self, member: &str, epoch: u64) -> bool {
        let entry = self.members.get(member);
        entry.is_some_and(|entry| entry.epoch > epoch || entry.epoch == epoch && entry.closed)
    }

    /// Sessions heard since the last call, by shard.
    pub fn take_touches(&mut self, layout: ShardLayout) -> BTreeMap<ShardId, Vec<SessionRenewal>> {
        let mut touches: BTreeMap<ShardId, Vec<SessionRenewal>> = BTreeMap::new();
        for (member, entry) in &mut self.members {
            if !std::mem::take(&mut entry.heard) {
                continue;
            }
            let shard = layout.shard_of(&session_key(member));
            touches.entry(shard).or_default().push(SessionRenewal {
                member: member.clone(),
                epoch: entry.epoch,
                applied_revision: entry.applied_revision,
            });
        }
        touches
    }

    /// Whether a list of control nodes is due on a link: when it changed, and now and then, so
    /// that heartbeats stay small.
    pub fn list_due(&mut self, now: MonotonicTime, link: LinkId, digest: u64) -> bool {
        let sent = self.lists.get(&link);
        let known = sent
            .is_some_and(|sent| sent.digest == digest && now.since(sent.at) < LIST_REPEATED_AFTER);
        if !known {
            self.lists.insert(link, ListSent { digest, at: now });
        }
        !known
    }

    /// A link ended: its members are heard elsewhere from now on.
    pub fn forget_link(&mut self, ended: LinkId) {
        self.lists.remove(&ended);
        self.members.retain(|_, entry| entry.link != Some(ended));
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.members.clear();
    }
}

impl Heard {
    fn new(epoch: u64) -> Self {
        Self {
            link: None,
            epoch,
            applied_revision: 0,
            heard: false,
            closed: false,
        }
    }
}
