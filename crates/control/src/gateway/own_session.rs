//! This node's own session with the control plane.

use millford_api::command::command_result;
use millford_api::internal::{ShardReply, shard_reply};

/// What is to be done for the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnSessionStep {
    /// Its opening is under way.
    Wait,
    /// Open it.
    Open,
    /// Renew it under this epoch.
    Renew {
        /// The session's epoch.
        epoch: u64,
    },
}

/// Owner of the session's epoch.
#[derive(Debug)]
pub(super) struct OwnSession {
    boot_id: u64,
    epoch: u64,
    opening: bool,
}

impl OwnSession {
    /// A session not yet opened, of the process with this number.
    pub(super) fn new(boot_id: u64) -> Self {
        Self {
            boot_id,
            epoch: 0,
            opening: false,
        }
    }

    /// Number of the process: a repeated opening by it gives the same epoch.
    pub(super) fn boot_id(&self) -> u64 {
        self.boot_id
    }

    /// What is to be done. `is_closed` tells whether the leader closed an epoch.
    pub(super) fn next_step(&self, is_closed: impl Fn(u64) -> bool) -> OwnSessionStep {
        if self.opening {
            return OwnSessionStep::Wait;
        }
        if self.epoch == 0 || is_closed(self.epoch) {
            return OwnSessionStep::Open;
        }
        OwnSessionStep::Renew { epoch: self.epoch }
    }

    /// The opening was requested.
    pub(super) fn opening(&mut self) {
        self.opening = true;
    }

    /// The opening was answered, or timed out.
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
