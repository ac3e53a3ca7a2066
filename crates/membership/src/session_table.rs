//! Liveness of a shard's sessions, as its leader sees it.
//!
//! Heartbeats renew a session's lease; a session without one for a whole lease expires.

use std::collections::BTreeMap;

use millford_api::command::SessionRecord;
use millford_core::{Duration, MonotonicTime};

/// Time without a heartbeat after which a session expires.
pub const SESSION_LEASE: Duration = Duration::from_secs(3);

/// A session from which the leader has received no heartbeat for a whole lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredSession {
    /// Name of the agent or control node.
    pub member: String,
    /// Epoch of the session to close; a newer one stays.
    pub epoch: u64,
}

#[derive(Clone, Debug)]
struct LiveSession {
    epoch: u64,
    last_contact: MonotonicTime,
    applied_revision: u64,
    closing: bool,
}

/// Leader-local table of when each replicated session was renewed last.
///
/// Heartbeats are not replicated, so a new leader knows nothing of them: it gives every session
/// a full lease from its election. Only the leader's monotonic clock is used.
#[derive(Debug)]
pub struct SessionTable {
    lease: Duration,
    sessions: BTreeMap<String, LiveSession>,
}

impl Default for SessionTable {
    fn default() -> Self {
        Self::new(SESSION_LEASE)
    }
}

impl SessionTable {
    /// An empty table whose sessions expire after `lease`.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            sessions: BTreeMap::new(),
        }
    }

    /// Starts over after an election: every replicated session gets a full lease.
    pub fn lead<'records>(
        &mut self,
        now: MonotonicTime,
        records: impl Iterator<Item = &'records SessionRecord>,
    ) {
        self.sessions.clear();
        for record in records {
            self.opened(now, &record.member, record.epoch);
        }
    }

    /// Drops everything when leadership is lost.
    pub fn clear(&mut self) {
        self.sessions.clear();
    }

    /// A session was opened; it replaces an older one of the same member.
    pub fn opened(&mut self, now: MonotonicTime, member: &str, epoch: u64) {
        let session = LiveSession {
            epoch,
            last_contact: now,
            applied_revision: 0,
            closing: false,
        };
        self.sessions.insert(member.to_owned(), session);
    }

    /// A session was closed. A newer session of the same member stays.
    pub fn closed(&mut self, member: &str, epoch: u64) {
        if self.epoch(member) == Some(epoch) {
            self.sessions.remove(member);
        }
    }

    /// A heartbeat arrived. Returns false when there is no such session.
    pub fn renew(
        &mut self,
        now: MonotonicTime,
        member: &str,
        epoch: u64,
        applied_revision: u64,
    ) -> bool {
        let Some(session) = self.sessions.get_mut(member) else {
            return false;
        };
        if session.epoch != epoch || session.closing {
            return false;
        }
        session.last_contact = now;
        session.applied_revision = session.applied_revision.max(applied_revision);
        true
    }

    /// Sessions whose lease expired, each returned once.
    ///
    /// From here on the session refuses heartbeats: its closing is on the way to the log, and
    /// what was granted to it may be given to others once that is committed.
    pub fn take_expired(&mut self, now: MonotonicTime) -> Vec<ExpiredSession> {
        let lease = self.lease;
        let expired = self
            .sessions
            .iter_mut()
            .filter(|(_, session)| !session.closing && now.since(session.last_contact) >= lease);
        expired
            .map(|(member, session)| {
                session.closing = true;
                ExpiredSession {
                    member: member.clone(),
                    epoch: session.epoch,
                }
            })
            .collect()
    }

    /// The closing of an expired session could not be proposed; it is returned again later.
    pub fn reopen_expired(&mut self, member: &str, epoch: u64) {
        if let Some(session) = self.sessions.get_mut(member)
            && session.epoch == epoch
        {
            session.closing = false;
        }
    }

    /// Epoch of the member's present session.
    #[must_use]
    pub fn epoch(&self, member: &str) -> Option<u64> {
        self.sessions.get(member).map(|session| session.epoch)
    }

    /// Configuration revision that the member last reported as applied; 0 when unknown.
    #[must_use]
    pub fn applied_revision(&self, member: &str) -> u64 {
        let session = self.sessions.get(member);
        session.map_or(0, |session| session.applied_revision)
    }

    /// Number of sessions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there are no sessions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}
