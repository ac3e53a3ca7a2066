//! Replies of a shard to requests and reads.

use millford_api::internal::{ShardReply, ShardStatus, StateSnapshot, shard_reply};
use millford_api::state::StateItem;
use millford_control_state::ShardMachine;
use millford_core::{NodeId, ResultCode, ShardId};
use millford_replication::ReplicaStatus;

use super::input::CorrelationId;
use super::output::ShardOutput;
use super::session_service::SessionService;

/// Builds the replies of one shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Replies {
    shard: ShardId,
}

impl Replies {
    /// Creates a builder for replies of this shard.
    pub(super) fn of(shard: ShardId) -> Self {
        Self { shard }
    }

    /// A successful reply with the requested data.
    pub(super) fn success(
        self,
        correlation_id: CorrelationId,
        kind: shard_reply::Kind,
    ) -> ShardOutput {
        let code = ResultCode::Ok.number();
        self.reply(correlation_id, code, NodeId::NONE, Some(kind))
    }

    /// The result of an applied command, with the result's code.
    pub(super) fn result(
        self,
        correlation_id: CorrelationId,
        code: u32,
        kind: shard_reply::Kind,
    ) -> ShardOutput {
        self.reply(correlation_id, code, NodeId::NONE, Some(kind))
    }

    /// A reply with a result code only, and the leader to retry at if it is known.
    pub(super) fn refusal(
        self,
        correlation_id: CorrelationId,
        code: ResultCode,
        leader_hint: NodeId,
    ) -> ShardOutput {
        self.reply(correlation_id, code.number(), leader_hint, None)
    }

    fn reply(
        self,
        correlation_id: CorrelationId,
        code: u32,
        leader_hint: NodeId,
        kind: Option<shard_reply::Kind>,
    ) -> ShardOutput {
        let reply = ShardReply {
            shard: self.shard.0,
            request_id: correlation_id,
            code,
            leader_hint: leader_hint.0,
            kind,
        };
        ShardOutput::Reply {
            correlation_id,
            reply,
        }
    }
}

/// The public items whose keys start with `prefix`.
pub(super) fn state_under(machine: &ShardMachine, prefix: &str) -> StateSnapshot {
    let items = machine
        .public_state()
        .range(prefix.to_owned()..)
        .take_while(|(key, _)| key.starts_with(prefix));
    StateSnapshot {
        shard: machine.shard().0,
        term: machine.applied_term(),
        offset: machine.applied_index(),
        items: items
            .map(|(key, value)| StateItem {
                key: key.clone(),
                value: Some(value.clone()),
            })
            .collect(),
        config_source: Vec::new(),
    }
}

/// The shard's status for operators, as seen by its leader.
pub(super) fn shard_status(
    machine: &ShardMachine,
    replica: &ReplicaStatus,
    sessions: &SessionService,
) -> ShardStatus {
    ShardStatus {
        shard: machine.shard().0,
        leader: replica.leader.0,
        term: replica.term,
        commit_index: replica.commit_index,
        voters: replica.voters.iter().map(|node| node.0).collect(),
        learners: replica.learners.iter().map(|node| node.0).collect(),
        sessions: sessions.statuses(machine),
    }
}
