//! Leases of a shard's sessions, tracked by the shard's leader.
//!
//! A heartbeat renews the lease of a session. A session without a heartbeat for a whole lease expires.

use std::collections::BTreeMap;

use millford_api::command::SessionRecord;
use millford_core::{Duration, MonotonicTime};

/// Default time without a heartbeat after which a session expires.
pub const SESSION_LEASE: Duration = Duration::from_secs(3);

/// A session whose lease expired without a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredSession {
    /// Name of the agent or control node.
    pub member: String,
    /// Epoch of the session to close. A session with a newer epoch must stay open.
    pub epoch: u64,
}

#[derive(Clone, Debug)]
struct SessionLease {
    epoch: u64,
    last_contact: MonotonicTime,
    applied_revision: u64,
    /// Whether the session expired and its closing is in progress.
    closing: bool,
}

/// Table of the last renewal of each replicated session, kept by the leader only.
///
/// Heartbeats are not replicated, so a new leader has no record of them and grants every session a full
/// lease from its election on. Only the leader's monotonic clock is used.
#[derive(Debug)]
pub struct SessionTable {
    lease: Duration,
    sessions: BTreeMap<String, SessionLease>,
}

impl Default for SessionTable {
    fn default() -> Self {
        Self::new(SESSION_LEASE)
    }
}

impl SessionTable {
    /// Creates an empty table with sessions that expire after `lease`.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            sessions: BTreeMap::new(),
        }
    }

    /// Rebuilds the table after an election and grants every replicated session a full lease.
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

    /// Removes all sessions. Called when leadership is lost.
    pub fn clear(&mut self) {
        self.sessions.clear();
    }

    /// Adds a session that was opened. It replaces an earlier session of the same member.
    pub fn opened(&mut self, now: MonotonicTime, member: &str, epoch: u64) {
        let session = SessionLease {
            epoch,
            last_contact: now,
            applied_revision: 0,
            closing: false,
        };
        self.sessions.insert(member.to_owned(), session);
    }

    /// Removes a session that was closed. A session of the same member with another epoch stays.
    pub fn closed(&mut self, member: &str, epoch: u64) {
        if self.epoch(member) == Some(epoch) {
            self.sessions.remove(member);
        }
    }

    /// Renews the lease of a session after a heartbeat. Returns false if there is no session of this
    /// member and epoch, or if [`Self::take_expired`] has returned it.
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

    /// Returns the sessions whose lease expired, each of them once.
    ///
    /// A returned session can no longer be renewed, because the caller proposes its closing. Once that is
    /// committed, everything granted to the session may be granted to others.
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

    /// Reverts the expiry of a session whose closing could not be proposed.
    /// [`Self::take_expired`] returns it again unless it is renewed first.
    pub fn reopen_expired(&mut self, member: &str, epoch: u64) {
        if let Some(session) = self.sessions.get_mut(member)
            && session.epoch == epoch
        {
            session.closing = false;
        }
    }

    /// Returns the epoch of the member's current session.
    #[must_use]
    pub fn epoch(&self, member: &str) -> Option<u64> {
        self.sessions.get(member).map(|session| session.epoch)
    }

    /// Returns the latest configuration revision that the member reported as applied, or 0 if it has
    /// reported none.
    #[must_use]
    pub fn applied_revision(&self, member: &str) -> u64 {
        let session = self.sessions.get(member);
        session.map_or(0, |session| session.applied_revision)
    }

    /// Returns the number of sessions, including those that are being closed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns whether there are no sessions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}
