//! Placements of pools, fenced by the epoch of the node that holds the placement role.

use millford_api::state::{PoolPlacement, state_value::Kind};
use millford_core::ResultCode;

use super::applied::Applied;
use super::public_state::PublicState;
use crate::keys;

/// Sets a pool's placement unless its epoch is lower than that of the current placement.
///
/// Safety: two nodes may act in the placement role at once. Once the one elected last has published
/// a placement, those of the other are refused: its epoch is the lower one, and every replica
/// applies the commands in the same order.
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
