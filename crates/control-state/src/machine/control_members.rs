//! Control nodes and their addresses, which are part of the configuration shard.

use millford_api::state::{ControlMember, state_value::Kind};
use millford_core::ResultCode;

use super::applied::Applied;
use super::public_state::PublicState;
use crate::keys;

/// Adds a control member or changes its addresses.
pub(crate) fn register(state: &mut PublicState, member: Option<&ControlMember>) -> Applied {
    let Some(member) = member else {
        return Applied::code(ResultCode::ProtocolViolation);
    };
    let key = keys::control_member(member.node_id);
    let change = state.set(key, Kind::ControlMember(member.clone()));
    Applied::changed(change.into_iter().collect())
}

/// Removes a control member. An unknown one is not an error, because the command may be resent.
pub(crate) fn remove(state: &mut PublicState, node_id: u64) -> Applied {
    let change = state.delete(&keys::control_member(node_id));
    Applied::changed(change.into_iter().collect())
}
