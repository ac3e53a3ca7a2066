//! Requests of operators: sent to the shards' leaders, and answered after the last reply.

use millford_api::command::{DrainBackend, PutConfig, command};
use millford_api::internal::{
    ReadState, ShardReply, ShardStatusRequest, shard_reply, shard_request,
};
use millford_api::operator::{MemberBody, RecoveryReply, StatusReply};
use millford_control_state::keys;
use millford_core::{MonotonicTime, NodeId, ResultCode, ShardId, service_key};

use super::Gateway;
use crate::commands::command_of;
use crate::gateway::operator_answers as answers;
use crate::gateway::pending_operator_requests::PendingOperatorRequest;
use crate::gateway::pending_requests::{Origin, request_to};
use crate::node_output::NodeOutput;
use crate::operator::status::{leaderless_body, member_body, session_body, shard_body};
use crate::operator::{OperatorFailure, OperatorReply, OperatorRequest};
use crate::shard::ShardInput;
use crate::timing::{OPERATOR_REQUEST_TIMEOUT, STATUS_REQUEST_TIMEOUT};

impl Gateway {
    /// Handles a request of an operator.
    pub(super) fn handle_operator(
        &mut self,
        now: MonotonicTime,
        request: u64,
        body: OperatorRequest,
    ) {
        if !self.store.is_formed() && body != OperatorRequest::Status {
            self.fail_operator(request, ResultCode::NotFormed);
            return;
        }
        match &body {
            OperatorRequest::PutConfig(order) => self.put_config(now, request, order.clone()),
            OperatorRequest::GetConfig => self.fetch_configuration(now, request, body),
            OperatorRequest::Plan(_) => self.fetch_all_states(now, request, body),
            OperatorRequest::Status => self.fetch_status(now, request),
            OperatorRequest::Drain { .. } => self.drain(now, request, body),
            OperatorRequest::Recover { survivors } => self.recover(request, survivors),
        }
    }

    /// Records a shard's reply, and answers the operator after the last one.
    pub(super) fn operator_answered(&mut self, request: u64, reply: ShardReply) {
        if let Some(entry) = self.operator_requests.answered(request, reply) {
            let reply = self.conclude(&entry);
            self.outbox
                .emit(NodeOutput::OperatorReply { request, reply });
        }
    }

    fn put_config(&mut self, now: MonotonicTime, request: u64, order: PutConfig) {
        let body = OperatorRequest::PutConfig(PutConfig {
            // Only the command carries the document; the pending request doesn't need a copy.
            document: None,
            source: Vec::new(),
            ..order.clone()
        });
        self.operator_requests.open(request, body, 1);
        let command = command_of(command::Kind::PutConfig(order));
        let kind = shard_request::Kind::Propose(command);
        self.submit_operator_request(now, request, ShardId::CONFIGURATION, kind);
    }

    fn fetch_configuration(&mut self, now: MonotonicTime, request: u64, body: OperatorRequest) {
        self.operator_requests.open(request, body, 1);
        let kind = shard_request::Kind::ReadState(ReadState {
            key_prefix: keys::CONFIG_PREFIX.to_owned(),
            with_source: true,
        });
        self.submit_operator_request(now, request, ShardId::CONFIGURATION, kind);
    }

    /// Reads the public state of every shard.
    fn fetch_all_states(&mut self, now: MonotonicTime, request: u64, body: OperatorRequest) {
        self.operator_requests
            .open(request, body, self.shard_count());
        for shard in self.layout().all() {
            self.submit_operator_request(now, request, shard, read_under(""));
        }
    }

    /// Sends two requests to every shard: for its status, and for its configuration head or its
    /// placements.
    fn fetch_status(&mut self, now: MonotonicTime, request: u64) {
        if !self.store.is_formed() {
            let status = self.status_head();
            let reply = OperatorReply::Status(Box::new(status));
            self.outbox
                .emit(NodeOutput::OperatorReply { request, reply });
            return;
        }
        let answers = self.shard_count() * 2;
        self.operator_requests
            .open(request, OperatorRequest::Status, answers);
        for shard in self.layout().all() {
            let status = shard_request::Kind::Status(ShardStatusRequest {});
            let origin = Origin::Operator { request };
            self.pending.submit(
                now,
                origin,
                request_to(shard, status),
                STATUS_REQUEST_TIMEOUT,
            );
            let prefix = if shard == ShardId::CONFIGURATION {
                keys::CONFIG_HEAD
            } else {
                keys::PLACEMENT_PREFIX
            };
            let origin = Origin::Operator { request };
            let read = request_to(shard, read_under(prefix));
            self.pending
                .submit(now, origin, read, STATUS_REQUEST_TIMEOUT);
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
        self.operator_requests.open(request, body, 1);
        self.submit_operator_request(now, request, shard, shard_request::Kind::Propose(command));
    }

    /// Makes this node's replica the only voter of each shard that has lost its quorum.
    fn recover(&mut self, request: u64, survivors: &[NodeId]) {
        let reply = match self.recoverable(survivors) {
            Ok(shards) => {
                for shard in &shards {
                    self.outbox.send_to_shard(*shard, ShardInput::ForceRecovery);
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
        self.outbox
            .emit(NodeOutput::OperatorReply { request, reply });
    }

    fn recoverable(&self, survivors: &[NodeId]) -> Result<Vec<ShardId>, String> {
        if !survivors.contains(&self.store.identity()) {
            return Err(
                "this node is not among the survivors; send the request to one of them".to_owned(),
            );
        }
        let unknown = survivors
            .iter()
            .find(|node| **node != self.store.identity() && self.directory.get(**node).is_none());
        if let Some(unknown) = unknown {
            return Err(format!("survivor {unknown} is not a known control node"));
        }
        let lost = self.replicas.iter().filter(|replica| {
            let voters = replica.voters.iter();
            let reachable = voters.filter(|voter| self.view.get(**voter).connected);
            !replica.has_quorum && reachable.count() <= replica.voters.len() / 2
        });
        let lost: Vec<ShardId> = lost.map(|replica| replica.shard).collect();
        if lost.is_empty() {
            return Err("every shard of this node still has a reachable quorum".to_owned());
        }
        Ok(lost)
    }

    fn submit_operator_request(
        &mut self,
        now: MonotonicTime,
        request: u64,
        shard: ShardId,
        kind: shard_request::Kind,
    ) {
        let origin = Origin::Operator { request };
        self.pending.submit(
            now,
            origin,
            request_to(shard, kind),
            OPERATOR_REQUEST_TIMEOUT,
        );
    }

    fn conclude(&self, entry: &PendingOperatorRequest) -> OperatorReply {
        match &entry.body {
            OperatorRequest::PutConfig(_) => answers::order(&entry.replies),
            OperatorRequest::GetConfig => answers::configuration(&entry.replies),
            OperatorRequest::Plan(desired) => {
                let registry = self.registry.as_deref();
                answers::plan(desired, &entry.replies, registry)
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
        // Shards whose leader did not answer are described from this node's own replicas.
        let unanswered = self
            .replicas
            .iter()
            .filter(|replica| !answered.contains(&replica.shard.0));
        status.shards.extend(unanswered.map(leaderless_body));
        status.shards.sort_by_key(|shard| shard.shard);
        status
            .sessions
            .sort_by(|left, right| left.member.cmp(&right.member));
        OperatorReply::Status(Box::new(status))
    }

    fn status_head(&self) -> StatusReply {
        let own = member_body(&self.own_member(), true);
        let others = self.directory.iter().map(|member| {
            let connected = self.view.get(NodeId(member.node_id)).connected;
            member_body(member, connected)
        });
        let mut members: Vec<MemberBody> = others.chain([own]).collect();
        members.sort_by(|left, right| left.node.cmp(&right.node));
        let formed = self.store.is_formed();
        StatusReply {
            node: self.store.identity().to_string(),
            cluster: if formed {
                format!("{:016x}", self.store.file().cluster_id)
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
        self.outbox
            .emit(NodeOutput::OperatorReply { request, reply });
    }
}

fn read_under(prefix: &str) -> shard_request::Kind {
    shard_request::Kind::ReadState(ReadState {
        key_prefix: prefix.to_owned(),
        with_source: false,
    })
}
