//! Builds requests that propose commands to a shard, and extracts results from its replies.

use millford_api::command::{ClaimResult, Command, command};
use millford_api::command::{CommandResult, command_result};
use millford_api::internal::{ShardReply, ShardRequest, shard_reply, shard_request};
use millford_core::{ResultCode, ShardId};

/// Returns the command's own result, or `None` if the shard did not execute the command, for
/// example because it has no leader.
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

/// Returns the claim result within a command's result, if it has one.
#[must_use]
pub fn claim_result(result: &CommandResult) -> Option<ClaimResult> {
    match &result.kind {
        Some(command_result::Kind::Claim(claim)) => Some(*claim),
        _ => None,
    }
}

/// Builds a request that proposes one command to `shard`.
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
