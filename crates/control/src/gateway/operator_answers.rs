//! Builds the answers to operators from the replies of shards.

use millford_api::command::command_result;
use millford_api::config::Document;
use millford_api::internal::{ShardReply, StateSnapshot, shard_reply};
use millford_api::operator::{ConfigReply, DrainReply, PlanReply, PutConfigReply, StatusReply};
use millford_api::state::state_value;
use millford_control_state::document;
use millford_control_state::planner::{self, PlanCatalogue, SAMPLED_SESSIONS, sample_sessions};
use millford_core::{ResultCode, ShardId};
use millford_registry::RegistryView;

use super::pending_requests::is_ok;
use crate::operator::status::placement_body;
use crate::operator::{OperatorFailure, OperatorReply};

/// Adds a shard's public state to a status.
pub(super) fn add_state(status: &mut StatusReply, state: &StateSnapshot) {
    let values = state.items.iter().filter_map(|item| item.value.as_ref());
    for value in values {
        match &value.kind {
            Some(state_value::Kind::Placement(placement)) => {
                status.placements.push(placement_body(placement));
            }
            Some(state_value::Kind::ConfigHead(head)) => status.revision = head.revision,
            _ => {}
        }
    }
}

/// A failure with the standard message of its code.
pub(super) fn failed(code: ResultCode) -> OperatorReply {
    OperatorReply::Failed(OperatorFailure::new(code))
}

fn code_of(reply: &ShardReply) -> ResultCode {
    ResultCode::from_number(reply.code).unwrap_or(ResultCode::ProtocolViolation)
}

/// Maps the result code of a failed order to `OrderUncertain` if the order may nevertheless have
/// been accepted.
fn uncertain(code: ResultCode) -> ResultCode {
    match code {
        ResultCode::ControlTimeout | ResultCode::NotLeader => ResultCode::OrderUncertain,
        other => other,
    }
}

/// Answer to a configuration order.
pub(super) fn order(replies: &[ShardReply]) -> OperatorReply {
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
        Some(result) if is_ok(reply.code) => OperatorReply::Order(PutConfigReply {
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

/// Answer with the configuration in force.
pub(super) fn configuration(replies: &[ShardReply]) -> OperatorReply {
    let (Some(state), _) = states(replies) else {
        return failed(first_failure(replies));
    };
    OperatorReply::Config(Box::new(config_of(state)))
}

/// The state of the configuration shard, if it was read, and all states that were read.
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
        source: state.config_source.clone(),
    }
}

/// Answer to a plan request: the effects of a change, computed against the state of every shard.
/// Backends that are not in any catalogue yet, such as those of new pools, are taken from the
/// service registry.
pub(super) fn plan(
    desired: &Document,
    replies: &[ShardReply],
    registry: Option<&RegistryView>,
) -> OperatorReply {
    let (configuration, states) = states(replies);
    let complete = states.len() == replies.len();
    let Some(configuration) = configuration.filter(|_| complete) else {
        return failed(first_failure(replies));
    };
    let present = config_of(configuration);
    let items = states.iter().flat_map(|state| state.items.iter());
    let mut catalogue = PlanCatalogue::from_values(items.filter_map(|item| item.value.as_ref()));
    for entry in registry.iter().flat_map(|view| view.backends.iter()) {
        if !catalogue.backends.contains_key(&entry.id) {
            catalogue.add_backend(entry.to_backend());
        }
    }
    let sessions = sample_sessions(SAMPLED_SESSIONS);
    OperatorReply::Plan(Box::new(PlanReply {
        revision: present.revision,
        plan: planner::plan(&present.document, desired, &catalogue, &sessions),
    }))
}

/// Answer to a drain order.
pub(super) fn drain(
    pool: &str,
    backend_id: &str,
    drain: bool,
    replies: &[ShardReply],
) -> OperatorReply {
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
