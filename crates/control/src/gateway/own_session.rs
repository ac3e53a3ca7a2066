//! This node's own session with the control plane.

use millford_api::command::command_result;
use millford_api::internal::{ShardReply, shard_reply};

/// The next step for the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnSessionStep {
    /// Wait for the reply to the request that opens the session.
    Wait,
    /// Open the session.
    Open,
    /// Renew the session.
    Renew {
        /// Epoch of the open session.
        epoch: u64,
    },
}

/// Owns the epoch of the session, which is 0 before the session was first opened.
#[derive(Debug)]
pub(super) struct OwnSession {
    boot_id: u64,
    epoch: u64,
    opening: bool,
}

impl OwnSession {
    /// Creates a session that is not opened yet, for the process with this number.
    pub(super) fn new(boot_id: u64) -> Self {
        Self {
            boot_id,
            epoch: 0,
            opening: false,
        }
    }

    /// Random number of the process, which makes opening the session idempotent: when the same
    /// process opens it again, it gets the same epoch.
    pub(super) fn boot_id(&self) -> u64 {
        self.boot_id
    }

    /// Decides the next step. `is_closed` returns whether the session with an epoch was closed.
    pub(super) fn next_step(&self, is_closed: impl Fn(u64) -> bool) -> OwnSessionStep {
        if self.opening {
            return OwnSessionStep::Wait;
        }
        if self.epoch == 0 || is_closed(self.epoch) {
            return OwnSessionStep::Open;
        }
        OwnSessionStep::Renew { epoch: self.epoch }
    }

    /// Records that opening the session was requested.
    pub(super) fn opening(&mut self) {
        self.opening = true;
    }

    /// Records the reply to the request that opens the session, which may be a timeout.
    pub(super) fn answered(&mut self, reply: &ShardReply) {
        self.opening = false;
        let Some(shard_reply::Kind::Result(result)) = &reply.kind else {
            return;
        };
        if let Some(command_result::Kind::OpenSession(opened)) = &result.kind {
            self.epoch = opened.epoch;
        }
    }
}
