//! The agent's session with the control plane.

use millford_api::command::{CloseSession, OpenSession, command, command_result as result};
use millford_api::internal::{ShardReply, ShardRequest};
use millford_core::{MonotonicTime, ResultCode, ShardLayout, session_key};

use crate::options::AgentOptions;
use crate::shard_command::{command_result, propose};
use crate::timing::{SESSION_RESEND_INTERVAL, SESSION_RETRY_DELAY};

/// Opens the session, holds its epoch and closes it.
#[derive(Clone, Debug)]
pub struct Session {
    open: OpenSession,
    /// Epoch of the open session, or 0 if none is open.
    epoch: u64,
    /// Id of the pending request to open the session.
    request: Option<u64>,
    send_at: MonotonicTime,
}

impl Session {
    /// Creates a session that is not open; the request to open it is due immediately.
    #[must_use]
    pub fn new(options: &AgentOptions, now: MonotonicTime) -> Self {
        let open = OpenSession {
            member: options.name.clone(),
            boot_id: options.boot_id,
            zone: options.zone.clone(),
            address: options.address.clone(),
            exchange_address: options.exchange_address.clone(),
        };
        Self {
            open,
            epoch: 0,
            request: None,
            send_at: now,
        }
    }

    /// Returns the name of the node that the session belongs to.
    #[must_use]
    pub fn member(&self) -> &str {
        &self.open.member
    }

    /// Returns the epoch of the open session, or 0 if none is open.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Discards a session that the control plane reports as closed, and schedules opening a new
    /// one.
    pub fn closed_by_control(&mut self, now: MonotonicTime) {
        self.epoch = 0;
        if self.request.is_none() {
            self.send_at = now;
        }
    }

    /// Makes the request to open the session due again on a new connection, since one in flight may
    /// be lost.
    pub fn link_up(&mut self, now: MonotonicTime) {
        self.send_at = now;
    }

    /// Returns the request to open the session if it is due. A new request gets the id after
    /// `last_id`, which is advanced.
    pub fn due_request(
        &mut self,
        now: MonotonicTime,
        layout: ShardLayout,
        last_id: &mut u64,
    ) -> Option<ShardRequest> {
        if self.epoch != 0 || now < self.send_at {
            return None;
        }
        self.send_at = now + SESSION_RESEND_INTERVAL;
        // A resent request keeps its id. Opening again with the same boot id yields the same
        // session.
        let id = *self.request.get_or_insert_with(|| {
            *last_id += 1;
            *last_id
        });
        let kind = command::Kind::OpenSession(self.open.clone());
        Some(self.propose(layout, id, kind))
    }

    /// Returns the request to close the session, or `None` if no session is open.
    #[must_use]
    pub fn close(&self, layout: ShardLayout, id: u64) -> Option<ShardRequest> {
        if self.epoch == 0 {
            return None;
        }
        let close = CloseSession {
            member: self.open.member.clone(),
            epoch: self.epoch,
            expired: false,
        };
        Some(self.propose(layout, id, command::Kind::CloseSession(close)))
    }

    /// Handles the reply to the request to open the session. Returns whether this reply opened it;
    /// replies to other requests are ignored.
    pub fn handle_reply(&mut self, now: MonotonicTime, reply: &ShardReply) -> bool {
        if self.request != Some(reply.request_id) || self.epoch != 0 {
            return false;
        }
        let Some(epoch) = opened_epoch(reply) else {
            self.send_at = now + SESSION_RETRY_DELAY;
            return false;
        };
        self.request = None;
        self.epoch = epoch;
        true
    }

    fn propose(&self, layout: ShardLayout, id: u64, kind: command::Kind) -> ShardRequest {
        let shard = layout.shard_of(&session_key(&self.open.member));
        propose(shard, id, kind)
    }
}

/// Extracts the epoch from a reply that reports a successful open.
fn opened_epoch(reply: &ShardReply) -> Option<u64> {
    let outcome = command_result(reply)?;
    match &outcome.kind {
        Some(result::Kind::OpenSession(opened)) if outcome.code == ResultCode::Ok.number() => {
            Some(opened.epoch).filter(|epoch| *epoch != 0)
        }
        _ => None,
    }
}
