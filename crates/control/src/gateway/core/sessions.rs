//! Heartbeats of agents, renewal of their sessions, and this node's own session.

use millford_api::command::{OpenSession, command};
use millford_api::internal::{
    Heartbeat, HeartbeatReply, RenewSessions, SessionRenewal, ShardReply, frame, shard_reply,
    shard_request,
};
use millford_api::state::ControlMember;
use millford_core::{MonotonicTime, session_key};
use xxhash_rust::xxh3::xxh3_64;

use super::Gateway;
use crate::commands::command_of;
use crate::gateway::own_session::OwnSessionStep;
use crate::gateway::pending_requests::{Origin, request_to};
use crate::link::LinkId;
use crate::timing::{AGENT_REQUEST_TIMEOUT, RENEWAL_PERIOD};

impl Gateway {
    /// Handles an agent's heartbeat. A node that has just started defers the reply until it has a
    /// quorum or [`crate::timing::EARLY_HEARTBEAT_TIMEOUT`] has passed.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        heartbeat: &Heartbeat,
    ) {
        self.links.set_agent(link);
        if self.early_heartbeats.is_deferring() && !self.has_quorum() {
            self.early_heartbeats.defer(link, heartbeat);
            return;
        }
        self.answer_heartbeat(now, link, heartbeat);
    }

    /// Answers the heartbeats that were deferred until this node's first quorum.
    pub(super) fn answer_early_heartbeats(&mut self, now: MonotonicTime) {
        if !self.early_heartbeats.is_deferring() {
            return;
        }
        let has_quorum = self.has_quorum();
        for (link, heartbeat) in self.early_heartbeats.release(now, has_quorum) {
            self.answer_heartbeat(now, link, &heartbeat);
        }
    }

    fn answer_heartbeat(&mut self, now: MonotonicTime, link: LinkId, heartbeat: &Heartbeat) {
        let session_alive = self.agents.heartbeat(Some(link), heartbeat);
        let reply = HeartbeatReply {
            sequence: heartbeat.sequence,
            session_alive,
            has_quorum: self.has_quorum(),
            members: self.members_for_agent(now, link),
            data_shards: self.store.file().data_shards,
        };
        self.outbox.send(link, frame::Body::HeartbeatReply(reply));
    }

    /// Renews the sessions with new heartbeats at the leaders of their shards.
    pub(super) fn tick_sessions(&mut self, now: MonotonicTime) {
        if !self.store.is_formed() || now < self.next_renewal {
            return;
        }
        self.next_renewal = now + RENEWAL_PERIOD;
        self.renew_own_session(now);
        for (shard, renewals) in self.agents.take_renewals(self.layout()) {
            let kind = shard_request::Kind::RenewSessions(RenewSessions {
                renewals: renewals.clone(),
            });
            let request = request_to(shard, kind);
            self.pending.submit(
                now,
                Origin::SessionRenewals(renewals),
                request,
                AGENT_REQUEST_TIMEOUT,
            );
        }
    }

    /// Records the sessions that the leader reported as closed.
    pub(super) fn renewals_answered(&mut self, renewed: &[SessionRenewal], reply: &ShardReply) {
        if let Some(shard_reply::Kind::RenewedSessions(reply)) = &reply.kind {
            self.agents.closed(renewed, &reply.closed_members);
        }
    }

    fn renew_own_session(&mut self, now: MonotonicTime) {
        if self.decommission.is_some() {
            return;
        }
        let member = self.own_session_name();
        let is_closed = |epoch| self.agents.is_closed(&member, epoch);
        match self.own_session.next_step(is_closed) {
            OwnSessionStep::Wait => {}
            OwnSessionStep::Open => self.open_own_session(now, member),
            OwnSessionStep::Renew { epoch } => {
                let heartbeat = Heartbeat {
                    member,
                    epoch,
                    sequence: 0,
                    applied_revision: self.members.applied_revision(),
                };
                self.agents.heartbeat(None, &heartbeat);
            }
        }
    }

    fn open_own_session(&mut self, now: MonotonicTime, member: String) {
        self.own_session.opening();
        let shard = self.layout().shard_of(&session_key(&member));
        let open = OpenSession {
            member,
            boot_id: self.own_session.boot_id(),
            zone: self.options.zone.clone(),
            address: self.options.internal_address.clone(),
            exchange_address: String::new(),
        };
        let command = command_of(command::Kind::OpenSession(open));
        let request = request_to(shard, shard_request::Kind::Propose(command));
        self.pending
            .submit(now, Origin::OwnSession, request, AGENT_REQUEST_TIMEOUT);
    }

    fn own_session_name(&self) -> String {
        format!("control-{}", self.store.identity())
    }

    /// The list of control nodes, or an empty one if the agent already has it.
    fn members_for_agent(&mut self, now: MonotonicTime, link: LinkId) -> Vec<ControlMember> {
        let mut members = self.directory.to_vec();
        members.push(self.own_member());
        let digest = xxh3_64(format!("{members:?}").as_bytes());
        if !self.agents.member_list_due(now, link, digest) {
            members.clear();
        }
        members
    }
}
