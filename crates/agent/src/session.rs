//! The agent's session with the control plane.

use millford_api::command::{CloseSession, Command, OpenSession, command};
use millford_api::internal::{ShardReply, ShardRequest, shard_reply, shard_request};
use millford_core::{MonotonicTime, ResultCode, ShardLayout, session_key};

use crate::options::AgentOptions;
use crate::timing::{SESSION_RESEND, SESSION_RETRY};

/// Opening, epoch and closing of the session.
#[derive(Clone, Debug)]
pub struct Session {
    open: OpenSession,
    epoch: u64,
    request: Option<u64>,
    send_at: MonotonicTime,
}

impl Session {
    /// A session that is not open yet.
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

    /// Name of the node.
    #[must_use]
    pub fn member(&self) -> &str {
        &self.open.member
    }

    /// Epoch of the open session, or 0.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The control plane says that the session with `epoch` is gone.
    pub fn gone(&mut self, now: MonotonicTime) {
        self.epoch = 0;
        if self.request.is_none() {
            self.send_at = now;
        }
    }

    /// A new connection: a request under way may be lost.
    pub fn link_up(&mut self, now: MonotonicTime) {
        self.send_at = now;
    }

    /// The request to open the session, when it is time. `next_id` numbers requests.
    pub fn due(
        &mut self,
        now: MonotonicTime,
        layout: ShardLayout,
        next_id: &mut u64,
    ) -> Option<ShardRequest> {
        if self.epoch != 0 || now < self.send_at {
            return None;
        }
        self.send_at = now + SESSION_RESEND;
        // The same request id: opening with the same boot id again gives the same session.
        let id = *self.request.get_or_insert_with(|| {
            *next_id += 1;
            *next_id
        });
        let kind = command::Kind::OpenSession(self.open.clone());
        Some(self.propose(layout, id, kind))
    }

    /// The request to close the session, if it is open.
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

    /// Takes the answer to the request to open. Returns whether the session is now open.
    pub fn reply(&mut self, now: MonotonicTime, reply: &ShardReply) -> bool {
        if self.request != Some(reply.request_id) || self.epoch != 0 {
            return false;
        }
        match opened_epoch(reply) {
            Some(epoch) => {
                self.request = None;
                self.epoch = epoch;
                true
            }
            None => {
                self.send_at = now + SESSION_RETRY;
                false
            }
        }
    }

    fn propose(&self, layout: ShardLayout, id: u64, kind: command::Kind) -> ShardRequest {
        let command = Command { kind: Some(kind) };
        ShardRequest {
            shard: layout.shard_of(&session_key(&self.open.member)).0,
            request_id: id,
            kind: Some(shard_request::Kind::Propose(command)),
            hops: 0,
        }
    }
}

fn opened_epoch(reply: &ShardReply) -> Option<u64> {
    use millford_api::command::command_result::Kind;
    if reply.code != ResultCode::Ok.number() {
        return None;
    }
    let Some(shard_reply::Kind::Result(result)) = &reply.kind else {
        return None;
    };
    match &result.kind {
        Some(Kind::OpenSession(opened)) if result.code == ResultCode::Ok.number() => {
            Some(opened.epoch).filter(|epoch| *epoch != 0)
        }
        _ => None,
    }
}
