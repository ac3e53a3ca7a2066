//! The first entry of a new group.

use millford_api::replication::{HardState, LogEntry, VoterSet, log_entry::Payload};
use millford_core::NodeId;
use millford_storage::{ReplicaStorage, StorageError};

/// Term of the first configuration of a group.
const FIRST_TERM: u64 = 1;

/// Writes the first configuration of a group as entry 1, which is identical on each of its initial
/// replicas. Does nothing on storage that is already in use.
///
/// The hard state is written first, as recovery treats a log without one as corruption. Storage
/// with an empty log and the initial hard state is left by a crash between the two writes; the
/// entry is then written again.
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
