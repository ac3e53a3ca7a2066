//! Placements of pools, fenced by the epoch of the placement role.

use millford_api::state::{PoolPlacement, state_value::Kind};
use millford_core::ResultCode;

use super::applied::Applied;
use super::public_state::PublicState;
use crate::keys;

/// Sets a placement unless its epoch is older than the current one.
///
/// Safety: two nodes may believe that they have the role; only the one elected last gets through,
/// because its epoch is the larger one in every replica's order of commands.
pub(crate) fn set(state: &mut PublicState, placement: Option<&PoolPlacement>) -> Applied {
    let Some(placement) = placement else {
        return Applied::code(ResultCode::ProtocolViolation);
    };
    let key = keys::placement(&placement.pool);
    if placement.epoch < current_epoch(state, &key) {
        return Applied::code(ResultCode::EpochFenced);
    }
    let change = state.set(key, Kind::Placement(placement.clone()));
    Applied::changed(change.into_iter().collect())
}

fn current_epoch(state: &PublicState, key: &str) -> u64 {
    match state.get(key) {
        Some(Kind::Placement(placement)) => placement.epoch,
        _ => 0,
    }
}
