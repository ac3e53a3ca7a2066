//! Sessions of agents and control nodes, with epochs that only grow.

use std::collections::BTreeMap;

use millford_api::command::{CloseSession, OpenSession, SessionRecord};
use millford_core::ResultCode;

use super::applied::Applied;

/// Open sessions by member.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionRegistry {
    sessions: BTreeMap<String, SessionRecord>,
    last_epoch: u64,
}

impl SessionRegistry {
    /// Opens a session. Resent by the same process, it gives the same epoch again; another process
    /// of that member gets a new epoch, which fences whatever the old one was granted.
    pub(crate) fn open(&mut self, open: &OpenSession) -> Applied {
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
        Applied::session(epoch)
    }

    /// Closes exactly the named epoch; a newer session of the member stays.
    pub(crate) fn close(&mut self, close: &CloseSession) -> Applied {
        let Some(known) = self.sessions.get(&close.member) else {
            return Applied::code(ResultCode::SessionClosed);
        };
        if known.epoch != close.epoch {
            return Applied::code(ResultCode::EpochFenced);
        }
        self.sessions.remove(&close.member);
        Applied::code(ResultCode::Ok)
    }

    /// Every open session by member.
    pub(crate) fn sessions(&self) -> &BTreeMap<String, SessionRecord> {
        &self.sessions
    }

    /// The last epoch given out; 0 before the first.
    pub(crate) fn last_epoch(&self) -> u64 {
        self.last_epoch
    }

    /// Replaces everything, for a restore.
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
