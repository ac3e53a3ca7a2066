//! Heartbeats of agents, and this node's own session.

use millford_api::command::{Command, OpenSession, command, command_result};
use millford_api::internal::{
    Heartbeat, HeartbeatReply, RenewSessions, SessionRenewal, ShardReply, ShardRequest, frame,
    shard_reply, shard_request,
};
use millford_api::state::ControlMember;
use millford_core::{MonotonicTime, ShardId, session_key};
use xxhash_rust::xxh3::xxh3_64;

use super::Gateway;
use super::pending::Origin;
use crate::link::LinkId;
use crate::timing::{AGENT_PATIENCE, TOUCH_PERIOD};

/// This node's session with the control plane.
#[derive(Debug)]
pub struct OwnSession {
    boot_id: u64,
    epoch: u64,
    opening: bool,
}

impl OwnSession {
    /// A session not yet opened, of the process with this number.
    #[must_use]
    pub fn new(boot_id: u64) -> Self {
        Self {
            boot_id,
            epoch: 0,
            opening: false,
        }
    }
}

impl Gateway {
    pub(super) fn handle_heartbeat(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        heartbeat: &Heartbeat,
    ) {
        self.links.set_agent(link);
        if self.early_heartbeats.is_open() && !self.is_in_touch() {
            self.early_heartbeats.keep(link, heartbeat);
            return;
        }
        self.answer_heartbeat(now, link, heartbeat);
    }

    /// Answers heartbeats that waited for this node's first quorum.
    pub(super) fn answer_early_heartbeats(&mut self, now: MonotonicTime) {
        if !self.early_heartbeats.is_open() {
            return;
        }
        let in_touch = self.is_in_touch();
        for (link, heartbeat) in self.early_heartbeats.release(now, in_touch) {
            self.answer_heartbeat(now, link, &heartbeat);
        }
    }

    fn answer_heartbeat(&mut self, now: MonotonicTime, link: LinkId, heartbeat: &Heartbeat) {
        let session_alive = self.agents.heartbeat(Some(link), heartbeat);
        let reply = HeartbeatReply {
            sequence: heartbeat.sequence,
            session_alive,
            has_quorum: self.is_in_touch(),
            members: self.members_for_agent(now, link),
            data_shards: self.file.data_shards,
        };
        self.send(link, frame::Body::HeartbeatReply(reply));
    }

    /// Passes heartbeats on to the leaders of the sessions' shards.
    pub(super) fn tick_sessions(&mut self, now: MonotonicTime) {
        if !self.file.is_formed() || now < self.next_touch {
            return;
        }
        self.next_touch = now + TOUCH_PERIOD;
        self.touch_own_session(now);
        for (shard, touches) in self.agents.take_touches(self.layout()) {
            let kind = shard_request::Kind::RenewSessions(RenewSessions {
                renewals: touches.clone(),
            });
            let request = request_to(shard, kind);
            self.submit(now, Origin::Touch(touches), request, AGENT_PATIENCE);
        }
    }

    pub(super) fn touch_answered(&mut self, touched: &[SessionRenewal], reply: &ShardReply) {
        if let Some(shard_reply::Kind::RenewedSessions(reply)) = &reply.kind {
            self.agents.closed(touched, &reply.closed_members);
        }
    }

    pub(super) fn own_session_answered(&mut self, reply: &ShardReply) {
        self.own_session.opening = false;
        let Some(shard_reply::Kind::Result(result)) = &reply.kind else {
            return;
        };
        if let Some(command_result::Kind::OpenSession(opened)) = &result.kind {
            self.own_session.epoch = opened.epoch;
        }
    }

    fn touch_own_session(&mut self, now: MonotonicTime) {
        if self.leaving.is_some() || self.own_session.opening {
            return;
        }
        let member = self.own_session_name();
        let closed = self.agents.is_closed(&member, self.own_session.epoch);
        if self.own_session.epoch == 0 || closed {
            self.open_own_session(now, member);
            return;
        }
        let heartbeat = Heartbeat {
            member,
            epoch: self.own_session.epoch,
            sequence: 0,
            applied_revision: self.members.applied_revision(),
        };
        self.agents.heartbeat(None, &heartbeat);
    }

    fn open_own_session(&mut self, now: MonotonicTime, member: String) {
        self.own_session.opening = true;
        let shard = self.layout().shard_of(&session_key(&member));
        let open = OpenSession {
            member,
            boot_id: self.own_session.boot_id,
            zone: self.options.zone.clone(),
            address: self.options.internal_address.clone(),
            exchange_address: String::new(),
        };
        let command = Command {
            kind: Some(command::Kind::OpenSession(open)),
        };
        let request = request_to(shard, shard_request::Kind::Propose(command));
        self.submit(now, Origin::OwnSession, request, AGENT_PATIENCE);
    }

    fn own_session_name(&self) -> String {
        format!("control-{}", self.file.identity())
    }

    /// The control nodes, or nothing when the agent has the list already.
    fn members_for_agent(&mut self, now: MonotonicTime, link: LinkId) -> Vec<ControlMember> {
        let mut members = self.directory().to_vec();
        members.push(self.own_member());
        let digest = xxh3_64(format!("{members:?}").as_bytes());
        if !self.agents.list_due(now, link, digest) {
            members.clear();
        }
        members
    }
}

/// A request to a shard's leader.
#[must_use]
pub fn request_to(shard: ShardId, kind: shard_request::Kind) -> ShardRequest {
    ShardRequest {
        shard: shard.0,
        kind: Some(kind),
        ..ShardRequest::default()
    }
}
