//! Requests of operators: sent to the shards' leaders, answered once all answers are there.

use millford_api::command::{DrainBackend, PutConfig, command, command_result};
use millford_api::config::Document;
use millford_api::internal::{
    ReadState, ShardReply, ShardStatusRequest, StateSnapshot, shard_reply, shard_request,
};
use millford_api::state::state_value;
use millford_control_state::{document, keys};
use millford_core::{MonotonicTime, NodeId, ResultCode, ShardId, service_key};

use super::operator_desk::DeskEntry;
use super::pending::Origin;
use super::sessions::request_to;
use super::{Gateway, is_ok};
use crate::node_output::NodeOutput;
use crate::operator::reply::{ConfigReply, DrainReply, OrderReply, RecoveryReply};
use crate::operator::status::{MemberBody, PlacementBody, SessionBody, ShardBody, StatusReply};
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
            ..order.clone()
        });
        self.desk.open(request, body, 1);
        let command = command_of(command::Kind::PutConfig(order));
        let kind = shard_request::Kind::Propose(command);
        self.ask(now, request, ShardId::CONFIGURATION, kind);
    }

    fn ask_configuration(&mut self, now: MonotonicTime, request: u64, body: OperatorRequest) {
        self.desk.open(request, body, 1);
        let kind = read_under(keys::CONFIG_PREFIX);
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
                    self.to_shard(*shard, ShardInput::ForceRecovery);
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
            OperatorRequest::PutConfig(_) => order_reply(&entry.replies),
            OperatorRequest::GetConfig => config_reply(&entry.replies),
            OperatorRequest::Plan(wanted) => plan_reply(wanted, &entry.replies),
            OperatorRequest::Status => self.status_reply(&entry.replies),
            OperatorRequest::Drain {
                pool,
                backend_id,
                drain,
            } => drain_reply(pool, backend_id, *drain, &entry.replies),
            OperatorRequest::Recover { .. } => failed(ResultCode::RecoveryRefused),
        }
    }

    fn status_reply(&self, replies: &[ShardReply]) -> OperatorReply {
        let mut status = self.status_head();
        let mut answered = std::collections::BTreeSet::new();
        for reply in replies {
            match &reply.kind {
                Some(shard_reply::Kind::Status(shard)) => {
                    answered.insert(shard.shard);
                    status.shards.push(ShardBody::from(shard));
                    let sessions = shard.sessions.iter().map(SessionBody::from);
                    status.sessions.extend(sessions);
                }
                Some(shard_reply::Kind::State(state)) => take_state(&mut status, state),
                _ => {}
            }
        }
        // What this node's own replicas know of the shards whose leader did not answer.
        let silent = self
            .standings
            .values()
            .filter(|standing| !answered.contains(&standing.shard.0));
        status.shards.extend(silent.map(|standing| ShardBody {
            shard: standing.shard.0,
            leader: String::new(),
            term: standing.term,
            commit_index: standing.commit_index,
            voters: standing.voters.iter().map(NodeId::to_string).collect(),
            learners: standing.learners.iter().map(NodeId::to_string).collect(),
        }));
        status.shards.sort_by_key(|shard| shard.shard);
        status
            .sessions
            .sort_by(|left, right| left.member.cmp(&right.member));
        OperatorReply::Status(Box::new(status))
    }

    fn status_head(&self) -> StatusReply {
        let own = MemberBody::new(&self.own_member(), true);
        let others = self.directory().iter().map(|member| {
            let connected = self.view.get(NodeId(member.node_id)).connected;
            MemberBody::new(member, connected)
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
            revision: self.members.shown_revision(),
            members,
            ..StatusReply::default()
        }
    }

    fn fail_operator(&mut self, request: u64, code: ResultCode) {
        let reply = failed(code);
        self.emit(NodeOutput::OperatorReply { request, reply });
    }
}

fn read_under(prefix: &str) -> shard_request::Kind {
    shard_request::Kind::ReadState(ReadState {
        key_prefix: prefix.to_owned(),
    })
}

fn take_state(status: &mut StatusReply, state: &StateSnapshot) {
    let values = state.items.iter().filter_map(|item| item.value.as_ref());
    for value in values {
        match &value.kind {
            Some(state_value::Kind::Placement(placement)) => {
                status.placements.push(PlacementBody::from(placement));
            }
            Some(state_value::Kind::ConfigHead(head)) => status.revision = head.revision,
            _ => {}
        }
    }
}

fn failed(code: ResultCode) -> OperatorReply {
    OperatorReply::Failed(OperatorFailure::new(code))
}

fn code_of(reply: &ShardReply) -> ResultCode {
    ResultCode::from_number(reply.code).unwrap_or(ResultCode::ProtocolViolation)
}

/// The code of an order whose fate nobody told: it may have been accepted.
fn uncertain(code: ResultCode) -> ResultCode {
    match code {
        ResultCode::ControlTimeout | ResultCode::NotLeader => ResultCode::OrderUncertain,
        other => other,
    }
}

fn order_reply(replies: &[ShardReply]) -> OperatorReply {
    let Some(reply) = replies.first() else {
        return failed(ResultCode::OrderUncertain);
    };
    let code = code_of(reply);
    let result = match &reply.kind {
        Some(shard_reply::Kind::Result(result)) => match &result.kind {
            Some(command_result::Kind::PutConfig(result)) => Some(result),
            _ => None,
        },
        _ => None,
    };
    match result {
        Some(result) if is_ok(reply.code) => OperatorReply::Order(OrderReply {
            revision: result.revision,
            repeated: result.repeated_order,
        }),
        Some(result) => {
            let failure = OperatorFailure::new(code);
            OperatorReply::Failed(failure.with_revision(result.revision))
        }
        None => failed(uncertain(code)),
    }
}

fn config_reply(replies: &[ShardReply]) -> OperatorReply {
    let (Some(state), _) = states(replies) else {
        return failed(first_failure(replies));
    };
    OperatorReply::Config(Box::new(config_of(state)))
}

/// The configuration's state if it was read, and every state that was read.
fn states(replies: &[ShardReply]) -> (Option<&StateSnapshot>, Vec<&StateSnapshot>) {
    let states = replies.iter().filter_map(|reply| match &reply.kind {
        Some(shard_reply::Kind::State(state)) => Some(state),
        _ => None,
    });
    let states: Vec<&StateSnapshot> = states.collect();
    let configuration = states
        .iter()
        .find(|state| state.shard == ShardId::CONFIGURATION.0)
        .copied();
    (configuration, states)
}

fn first_failure(replies: &[ShardReply]) -> ResultCode {
    let mut failures = replies.iter().filter(|reply| !is_ok(reply.code));
    failures.next().map_or(ResultCode::ControlTimeout, code_of)
}

fn config_of(state: &StateSnapshot) -> ConfigReply {
    let values = state.items.iter().filter_map(|item| item.value.as_ref());
    let head = values.clone().find_map(|value| match &value.kind {
        Some(state_value::Kind::ConfigHead(head)) => Some(head.clone()),
        _ => None,
    });
    let head = head.unwrap_or_default();
    ConfigReply {
        revision: head.revision,
        digest: hex::encode(&head.digest),
        document: document::document_of(values),
    }
}

fn plan_reply(wanted: &Document, replies: &[ShardReply]) -> OperatorReply {
    let (configuration, states) = states(replies);
    let complete = states.len() == replies.len();
    let Some(configuration) = configuration.filter(|_| complete) else {
        return failed(first_failure(replies));
    };
    let _ = (configuration, wanted);
    failed(ResultCode::StartFailed)
}

fn drain_reply(pool: &str, backend_id: &str, drain: bool, replies: &[ShardReply]) -> OperatorReply {
    let code = replies.first().map_or(ResultCode::ControlTimeout, code_of);
    match code {
        ResultCode::Ok => OperatorReply::Drain(DrainReply {
            pool: pool.to_owned(),
            backend_id: backend_id.to_owned(),
            drain,
        }),
        other => failed(uncertain(other)),
    }
}
