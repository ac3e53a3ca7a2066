//! Requests of operators: sent to the shards' leaders, answered once all answers are there.

use millford_api::command::{DrainBackend, PutConfig, command};
use millford_api::internal::{
    ReadState, ShardReply, ShardStatusRequest, shard_reply, shard_request,
};
use millford_api::operator::{MemberBody, RecoveryReply, StatusReply};
use millford_control_state::keys;
use millford_core::{MonotonicTime, NodeId, ResultCode, ShardId, service_key};

use super::Gateway;
use super::operator_answers as answers;
use super::operator_desk::DeskEntry;
use super::pending::Origin;
use super::sessions::request_to;
use crate::node_output::NodeOutput;
use crate::operator::status::{leaderless_body, member_body, session_body, shard_body};
use crate::operator::{OperatorFailure, OperatorReply, OperatorRequest};
use crate::shard::ShardInput;
use crate::shard::upkeep::command_of;
use crate::timing::{OPERATOR_PATIENCE, STATUS_PATIENCE};

impl Gateway {
    /// An operator asks.
    pub(super) fn handle_operator(
        &mut self,
        now: MonotonicTime,
        request: u64,
        body: OperatorRequest,
    ) {
        if !self.file.is_formed() && body != OperatorRequest::Status {
            self.fail_operator(request, ResultCode::NotFormed);
            return;
        }
        match &body {
            OperatorRequest::PutConfig(order) => self.put_config(now, request, order.clone()),
            OperatorRequest::GetConfig => self.ask_configuration(now, request, body),
            OperatorRequest::Plan(_) => self.ask_everything(now, request, body),
            OperatorRequest::Status => self.ask_status(now, request),
            OperatorRequest::Drain { .. } => self.drain(now, request, body),
            OperatorRequest::Recover { survivors } => self.recover(request, survivors),
        }
    }

    /// A shard answered.
    pub(super) fn operator_answered(&mut self, request: u64, reply: ShardReply) {
        if let Some(entry) = self.desk.answered(request, reply) {
            let reply = self.conclude(entry);
            self.emit(NodeOutput::OperatorReply { request, reply });
        }
    }

    fn put_config(&mut self, now: MonotonicTime, request: u64, order: PutConfig) {
        let body = OperatorRequest::PutConfig(PutConfig {
            // The document travels in the command only.
            document: None,
            source: Vec::new(),
            ..order.clone()
        });
        self.desk.open(request, body, 1);
        let command = command_of(command::Kind::PutConfig(order));
        let kind = shard_request::Kind::Propose(command);
        self.ask(now, request, ShardId::CONFIGURATION, kind);
    }

    fn ask_configuration(&mut self, now: MonotonicTime, request: u64, body: OperatorRequest) {
        self.desk.open(request, body, 1);
        let kind = shard_request::Kind::ReadState(ReadState {
            key_prefix: keys::CONFIG_PREFIX.to_owned(),
            with_source: true,
        });
        self.ask(now, request, ShardId::CONFIGURATION, kind);
    }

    /// Reads the public state of every shard.
    fn ask_everything(&mut self, now: MonotonicTime, request: u64, body: OperatorRequest) {
        self.desk.open(request, body, self.shard_count());
        for shard in self.layout().all() {
            self.ask(now, request, shard, read_under(""));
        }
    }

    /// Asks every shard twice: for its status and for its public state.
    fn ask_status(&mut self, now: MonotonicTime, request: u64) {
        if !self.file.is_formed() {
            let status = self.status_head();
            let reply = OperatorReply::Status(Box::new(status));
            self.emit(NodeOutput::OperatorReply { request, reply });
            return;
        }
        let answers = self.shard_count() * 2;
        self.desk.open(request, OperatorRequest::Status, answers);
        for shard in self.layout().all() {
            let status = shard_request::Kind::Status(ShardStatusRequest {});
            let origin = Origin::Operator { request };
            self.submit(now, origin, request_to(shard, status), STATUS_PATIENCE);
            let prefix = if shard == ShardId::CONFIGURATION {
                keys::CONFIG_HEAD
            } else {
                keys::PLACEMENT_PREFIX
            };
            let origin = Origin::Operator { request };
            let read = request_to(shard, read_under(prefix));
            self.submit(now, origin, read, STATUS_PATIENCE);
        }
    }

    fn drain(&mut self, now: MonotonicTime, request: u64, body: OperatorRequest) {
        let OperatorRequest::Drain {
            pool,
            backend_id,
            drain,
        } = &body
        else {
            return;
        };
        let shard = self.layout().shard_of(&service_key(pool));
        let command = command_of(command::Kind::DrainBackend(DrainBackend {
            service: pool.clone(),
            backend_id: backend_id.clone(),
            drain: *drain,
        }));
        self.desk.open(request, body, 1);
        self.ask(now, request, shard, shard_request::Kind::Propose(command));
    }

    /// Makes this node's replicas the only voters of the shards that have lost their quorum.
    fn recover(&mut self, request: u64, survivors: &[NodeId]) {
        let reply = match self.recoverable(survivors) {
            Ok(shards) => {
                for shard in &shards {
                    self.tell_shard(*shard, ShardInput::ForceRecovery);
                }
                OperatorReply::Recovery(RecoveryReply {
                    shards: shards.iter().map(|shard| shard.0).collect(),
                })
            }
            Err(reason) => {
                let failure = OperatorFailure::new(ResultCode::RecoveryRefused);
                OperatorReply::Failed(failure.with_message(reason))
            }
        };
        self.emit(NodeOutput::OperatorReply { request, reply });
    }

    fn recoverable(&self, survivors: &[NodeId]) -> Result<Vec<ShardId>, String> {
        if !survivors.contains(&self.file.identity()) {
            return Err("this node is not among the survivors; ask one that is".to_owned());
        }
        let unknown = survivors
            .iter()
            .find(|node| **node != self.file.identity() && self.directory().get(**node).is_none());
        if let Some(unknown) = unknown {
            return Err(format!("survivor {unknown} is not known"));
        }
        let lost = self.standings.values().filter(|standing| {
            let voters = standing.voters.iter();
            let reachable = voters.filter(|voter| self.view.get(**voter).connected);
            !standing.in_touch && reachable.count() <= standing.voters.len() / 2
        });
        let lost: Vec<ShardId> = lost.map(|standing| standing.shard).collect();
        if lost.is_empty() {
            return Err("a quorum of every shard held here is reachable".to_owned());
        }
        Ok(lost)
    }

    fn ask(&mut self, now: MonotonicTime, request: u64, shard: ShardId, kind: shard_request::Kind) {
        let origin = Origin::Operator { request };
        self.submit(now, origin, request_to(shard, kind), OPERATOR_PATIENCE);
    }

    fn conclude(&self, entry: DeskEntry) -> OperatorReply {
        match &entry.body {
            OperatorRequest::PutConfig(_) => answers::order(&entry.replies),
            OperatorRequest::GetConfig => answers::configuration(&entry.replies),
            OperatorRequest::Plan(wanted) => {
                let registry = self.registry.as_deref();
                answers::plan(wanted, &entry.replies, registry)
            }
            OperatorRequest::Status => self.status_reply(&entry.replies),
            OperatorRequest::Drain {
                pool,
                backend_id,
                drain,
            } => answers::drain(pool, backend_id, *drain, &entry.replies),
            OperatorRequest::Recover { .. } => answers::failed(ResultCode::RecoveryRefused),
        }
    }

    fn status_reply(&self, replies: &[ShardReply]) -> OperatorReply {
        let mut status = self.status_head();
        let mut answered = std::collections::BTreeSet::new();
        for reply in replies {
            match &reply.kind {
                Some(shard_reply::Kind::Status(shard)) => {
                    answered.insert(shard.shard);
                    status.shards.push(shard_body(shard));
                    let sessions = shard.sessions.iter().map(session_body);
                    status.sessions.extend(sessions);
                }
                Some(shard_reply::Kind::State(state)) => answers::add_state(&mut status, state),
                _ => {}
            }
        }
        // What this node's own replicas know of the shards whose leader did not answer.
        let silent = self
            .standings
            .values()
            .filter(|standing| !answered.contains(&standing.shard.0));
        status.shards.extend(silent.map(leaderless_body));
        status.shards.sort_by_key(|shard| shard.shard);
        status
            .sessions
            .sort_by(|left, right| left.member.cmp(&right.member));
        OperatorReply::Status(Box::new(status))
    }

    fn status_head(&self) -> StatusReply {
        let own = member_body(&self.own_member(), true);
        let others = self.directory().iter().map(|member| {
            let connected = self.view.get(NodeId(member.node_id)).connected;
            member_body(member, connected)
        });
        let mut members: Vec<MemberBody> = others.chain([own]).collect();
        members.sort_by(|left, right| left.node.cmp(&right.node));
        let formed = self.file.is_formed();
        StatusReply {
            node: self.file.identity().to_string(),
            cluster: if formed {
                format!("{:016x}", self.file.cluster_id)
            } else {
                String::new()
            },
            revision: self.members.applied_revision(),
            members,
            ..StatusReply::default()
        }
    }

    fn fail_operator(&mut self, request: u64, code: ResultCode) {
        let reply = answers::failed(code);
        self.emit(NodeOutput::OperatorReply { request, reply });
    }
}

fn read_under(prefix: &str) -> shard_request::Kind {
    shard_request::Kind::ReadState(ReadState {
        key_prefix: prefix.to_owned(),
        with_source: false,
    })
}
