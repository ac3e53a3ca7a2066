//! Requests and reads of a shard.

use millford_api::command::{Command, command, command_result};
use millford_api::internal::{
    RenewSessions, RenewSessionsReply, SessionStatus, ShardReply, ShardRequest, ShardStatus,
    StateSnapshot, shard_reply, shard_request,
};
use millford_api::state::StateItem;
use millford_control_state::Applied;
use millford_core::{MonotonicTime, NodeId, ResultCode};

use super::core::ShardCore;
use super::input::Ticket;
use super::output::ShardOutput;
use super::proposals::Purpose;
use super::reads::ReadPurpose;
use crate::node_output::NodeNote;

impl ShardCore {
    /// A request to the shard's leader.
    pub(super) fn request(&mut self, now: MonotonicTime, ticket: Ticket, request: ShardRequest) {
        use shard_request::Kind;
        if !self.leads() {
            self.refuse(ticket, ResultCode::NotLeader);
            return;
        }
        match request.kind {
            Some(Kind::Propose(command)) => self.propose_request(ticket, &command),
            Some(Kind::ReadState(read)) => {
                self.read(
                    now,
                    ReadPurpose::State {
                        ticket,
                        prefix: read.key_prefix,
                        with_source: read.with_source,
                    },
                );
            }
            Some(Kind::ReadIndex(_)) => self.read(now, ReadPurpose::Index { ticket }),
            Some(Kind::Status(_)) => self.read(now, ReadPurpose::Status { ticket }),
            Some(Kind::RenewSessions(touch)) => self.touch(now, ticket, &touch),
            None => self.refuse(ticket, ResultCode::ProtocolViolation),
        }
    }

    /// Answers with a code only. A wrong leader is named if the right one is known.
    pub(super) fn refuse(&mut self, ticket: Ticket, code: ResultCode) {
        let leader = self.replica.status().leader;
        let hint = if leader == self.options.identity {
            NodeId::NONE
        } else {
            leader
        };
        self.reply_code(ticket, code.number(), hint, None);
    }

    /// The proposal with this purpose was applied.
    pub(super) fn proposal_applied(&mut self, purpose: Purpose, applied: Applied) {
        self.note_accepted(&applied);
        if let Purpose::Request(ticket) = purpose {
            let code = applied.result.code;
            let kind = shard_reply::Kind::Result(applied.result);
            self.reply_code(ticket, code, NodeId::NONE, Some(kind));
        }
    }

    /// Keeps the leader's session table in line with the replicated one.
    pub(super) fn follow_sessions(
        &mut self,
        now: MonotonicTime,
        command: &Command,
        applied: &Applied,
    ) {
        let succeeded = applied.result.code == ResultCode::Ok.number();
        match (&command.kind, &applied.result.kind) {
            (
                Some(command::Kind::OpenSession(open)),
                Some(command_result::Kind::OpenSession(opened)),
            ) => {
                self.sessions.opened(now, &open.member, opened.epoch);
            }
            (Some(command::Kind::CloseSession(close)), _) if succeeded => {
                self.sessions.closed(&close.member, close.epoch);
                self.placement.forget(&close.member);
            }
            _ => {}
        }
    }

    /// Serves the reads that are confirmed and applied.
    pub(super) fn serve_ready_reads(&mut self) {
        let applied = self.machine.applied_index();
        for read in self.reads.take_ready(applied) {
            let index = read.index.unwrap_or(applied);
            self.serve(read.purpose, index);
        }
    }

    /// Starts a confirmed read on the leader.
    pub(super) fn read(&mut self, now: MonotonicTime, purpose: ReadPurpose) {
        let number = self.reads.start(purpose);
        if self.replica.read_index(number).is_err() {
            self.read_failed(now, number);
        }
    }

    /// This replica cannot confirm the read.
    pub(super) fn read_failed(&mut self, now: MonotonicTime, number: u64) {
        if let Some(read) = self.reads.take(number) {
            self.retry_read(now, read.purpose);
        }
    }

    /// Leadership was lost: reads of others go back to them, feeds are asked for again.
    pub(super) fn restart_reads(&mut self, now: MonotonicTime) {
        for read in self.reads.take_unconfirmed() {
            self.retry_read(now, read.purpose);
        }
    }

    pub(super) fn leads(&self) -> bool {
        let status = self.replica.status();
        // Before the first entry of its own term is committed, a leader may not have applied all
        // that is committed, and would judge sessions on an old table.
        status.role == millford_replication::Role::Leader && status.leads_confirmed
    }

    fn retry_read(&mut self, now: MonotonicTime, purpose: ReadPurpose) {
        match purpose {
            ReadPurpose::State { ticket, .. }
            | ReadPurpose::Index { ticket }
            | ReadPurpose::Status { ticket } => self.refuse(ticket, ResultCode::NotLeader),
            ReadPurpose::Subscribe { subscriber } => self.subscriptions.failed(now, subscriber),
        }
    }

    fn serve(&mut self, purpose: ReadPurpose, index: u64) {
        match purpose {
            ReadPurpose::State {
                ticket,
                prefix,
                with_source,
            } => {
                let mut state = self.state_under(&prefix);
                if with_source {
                    state.config_source = self.machine.config_source().to_vec();
                }
                self.reply_ok(ticket, shard_reply::Kind::State(state));
            }
            ReadPurpose::Index { ticket } => {
                self.reply_ok(ticket, shard_reply::Kind::ReadIndex(index));
            }
            ReadPurpose::Status { ticket } => {
                let status = shard_reply::Kind::Status(self.shard_status());
                self.reply_ok(ticket, status);
            }
            ReadPurpose::Subscribe { subscriber } => self.open_feed(subscriber),
        }
    }

    fn propose_request(&mut self, ticket: Ticket, command: &Command) {
        if !self.propose(command, Purpose::Request(ticket)) {
            self.refuse(ticket, ResultCode::NotLeader);
        }
    }

    fn touch(&mut self, now: MonotonicTime, ticket: Ticket, touch: &RenewSessions) {
        let mut closed_members = Vec::new();
        for touch in &touch.renewals {
            let alive =
                self.sessions
                    .touch(now, &touch.member, touch.epoch, touch.applied_revision);
            if !alive {
                closed_members.push(touch.member.clone());
            }
        }
        let reply = RenewSessionsReply { closed_members };
        self.reply_ok(ticket, shard_reply::Kind::RenewedSessions(reply));
    }

    fn state_under(&self, prefix: &str) -> StateSnapshot {
        let state = self.machine.public_state();
        let items = state
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix));
        StateSnapshot {
            shard: self.options.shard.0,
            term: self.machine.applied_term(),
            offset: self.machine.applied_index(),
            items: items
                .map(|(key, value)| StateItem {
                    key: key.clone(),
                    value: Some(value.clone()),
                })
                .collect(),
            config_source: Vec::new(),
        }
    }

    fn shard_status(&self) -> ShardStatus {
        let status = self.replica.status();
        let records = self.machine.sessions().values();
        ShardStatus {
            shard: self.options.shard.0,
            leader: status.leader.0,
            term: status.term,
            commit_index: status.commit_index,
            voters: status.voters.iter().map(|node| node.0).collect(),
            learners: status.learners.iter().map(|node| node.0).collect(),
            sessions: records
                .map(|record| SessionStatus {
                    member: record.member.clone(),
                    epoch: record.epoch,
                    zone: record.zone.clone(),
                    address: record.address.clone(),
                    applied_revision: self.sessions.applied_revision(&record.member),
                })
                .collect(),
        }
    }

    fn note_accepted(&mut self, applied: &Applied) {
        let succeeded = applied.result.code == ResultCode::Ok.number();
        if let Some(command_result::Kind::PutConfig(result)) = &applied.result.kind
            && succeeded
            && !result.repeated_order
        {
            let note = NodeNote::ConfigurationAccepted(result.revision);
            self.outputs.push(ShardOutput::Note(note));
        }
    }

    fn reply_ok(&mut self, ticket: Ticket, kind: shard_reply::Kind) {
        self.reply_code(ticket, ResultCode::Ok.number(), NodeId::NONE, Some(kind));
    }

    fn reply_code(
        &mut self,
        ticket: Ticket,
        code: u32,
        leader_hint: NodeId,
        kind: Option<shard_reply::Kind>,
    ) {
        let reply = ShardReply {
            shard: self.options.shard.0,
            request_id: ticket,
            code,
            leader_hint: leader_hint.0,
            kind,
        };
        self.outputs.push(ShardOutput::Reply { ticket, reply });
    }
}
