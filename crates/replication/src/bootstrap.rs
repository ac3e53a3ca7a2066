//! The first entry of a new group.

use millford_api::replication::{HardState, LogEntry, VoterSet, log_entry::Payload};
use millford_core::NodeId;
use millford_storage::{ReplicaStorage, StorageError};

/// Term of the first configuration of a group.
const FIRST_TERM: u64 = 1;

/// Writes the first entry of a group, the same on each of its first replicas.
///
/// The hard state comes first: a log without one counts as corruption. Storage whose log is empty
/// and whose hard state is still the first one is the result of a crash between the two writes.
///
/// # Errors
/// Any error of the storage.
pub(crate) fn bootstrap(
    node: NodeId,
    voters: &VoterSet,
    storage: &mut ReplicaStorage,
) -> Result<(), StorageError> {
    let first_state = HardState {
        term: FIRST_TERM,
        voted_for: NodeId::NONE.0,
        node: node.0,
    };
    let is_pristine = storage.is_empty() || storage.hard_state() == Some(first_state);
    if !is_pristine || storage.last_index() > 0 {
        return Ok(());
    }
    storage.set_hard_state(first_state)?;
    storage.append([LogEntry {
        index: 1,
        term: FIRST_TERM,
        payload: Some(Payload::Voters(voters.clone())),
    }]);
    storage.sync()
}
