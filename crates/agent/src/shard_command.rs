//! Commands proposed to a shard, and what its answers mean.

use millford_api::command::{ClaimResult, Command, command};
use millford_api::command::{CommandResult, command_result};
use millford_api::internal::{ShardReply, ShardRequest, shard_reply, shard_request};
use millford_core::{ResultCode, ShardId};

/// The command's own result, or none when the shard could not take the command now.
#[must_use]
pub fn command_result(reply: &ShardReply) -> Option<&CommandResult> {
    if reply.code != ResultCode::Ok.number() {
        return None;
    }
    match &reply.kind {
        Some(shard_reply::Kind::Result(result)) => Some(result),
        _ => None,
    }
}

/// The claim's outcome within a result.
#[must_use]
pub fn claim_result(result: &CommandResult) -> Option<ClaimResult> {
    match &result.kind {
        Some(command_result::Kind::Claim(claim)) => Some(*claim),
        _ => None,
    }
}

/// A request that proposes one command.
#[must_use]
pub fn propose(shard: ShardId, request_id: u64, kind: command::Kind) -> ShardRequest {
    let command = Command { kind: Some(kind) };
    ShardRequest {
        shard: shard.0,
        request_id,
        kind: Some(shard_request::Kind::Propose(command)),
        hops: 0,
    }
}
