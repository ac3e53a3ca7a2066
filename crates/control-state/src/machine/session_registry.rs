//! Sessions of agents and control nodes. Each new session gets a higher epoch than all before it.

use std::collections::BTreeMap;

use millford_api::command::{CloseSession, OpenSession, SessionRecord};
use millford_api::state::{ProxyMember, StateItem, state_value::Kind};
use millford_core::ResultCode;

use super::applied::Applied;
use super::public_state::PublicState;
use crate::keys;

/// Open sessions by member, and the last assigned epoch.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionRegistry {
    sessions: BTreeMap<String, SessionRecord>,
    last_epoch: u64,
}

impl SessionRegistry {
    /// Opens a session. A process that resends the command gets the same epoch again. Another
    /// process of the same member gets a new epoch, which fences everything granted under the old
    /// one.
    ///
    /// While the session is open, the address of the member's proxy is published to its peers, if
    /// the proxy exchanges messages with them.
    pub(crate) fn open(&mut self, state: &mut PublicState, open: &OpenSession) -> Applied {
        let epoch = match self.sessions.get(&open.member) {
            Some(known) if known.boot_id == open.boot_id => known.epoch,
            _ => self.next_epoch(),
        };
        let record = SessionRecord {
            member: open.member.clone(),
            boot_id: open.boot_id,
            epoch,
            zone: open.zone.clone(),
            address: open.address.clone(),
        };
        self.sessions.insert(open.member.clone(), record);
        let mut applied = Applied::session(epoch);
        applied.changes = publish_proxy(state, open).into_iter().collect();
        applied
    }

    /// Closes the member's session if it has the given epoch; a newer session stays open.
    pub(crate) fn close(&mut self, state: &mut PublicState, close: &CloseSession) -> Applied {
        let Some(known) = self.sessions.get(&close.member) else {
            return Applied::code(ResultCode::SessionClosed);
        };
        if known.epoch != close.epoch {
            return Applied::code(ResultCode::EpochFenced);
        }
        self.sessions.remove(&close.member);
        let unpublished = state.delete(&keys::proxy_member(&close.member));
        Applied::changed(unpublished.into_iter().collect())
    }

    /// Returns all open sessions by member.
    pub(crate) fn sessions(&self) -> &BTreeMap<String, SessionRecord> {
        &self.sessions
    }

    /// Returns the last assigned epoch; 0 before the first session.
    pub(crate) fn last_epoch(&self) -> u64 {
        self.last_epoch
    }

    /// Replaces all sessions and the last assigned epoch with those of a snapshot.
    pub(crate) fn replace(&mut self, records: Vec<SessionRecord>, last_epoch: u64) {
        self.last_epoch = last_epoch;
        self.sessions = records
            .into_iter()
            .map(|record| (record.member.clone(), record))
            .collect();
    }

    fn next_epoch(&mut self) -> u64 {
        self.last_epoch += 1;
        self.last_epoch
    }
}

fn publish_proxy(state: &mut PublicState, open: &OpenSession) -> Option<StateItem> {
    let key = keys::proxy_member(&open.member);
    if open.exchange_address.is_empty() {
        return state.delete(&key);
    }
    let member = ProxyMember {
        name: open.member.clone(),
        exchange_address: open.exchange_address.clone(),
        zone: open.zone.clone(),
    };
    state.set(key, Kind::ProxyMember(member))
}
