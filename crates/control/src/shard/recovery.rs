//! Forced recovery: one replica goes on as the only voter, on an operator's order.

use millford_api::replication::{HardState, LogEntry, VoterSet, log_entry::Payload};
use millford_storage::{ReplicaStorage, StorageError, StorageOptions};

use super::options::ShardCoreOptions;

/// Writes a configuration with this node as the only voter under a new term.
///
/// This breaks the guarantee of the quorum: what only the lost replicas held is lost, and were one
/// of them to come back, it would hold a different history. Its term is smaller, so it would never
/// be followed; it is not in the group any more and has to start over.
///
/// # Errors
/// The storage cannot be opened or written.
pub(super) fn force_single_voter(options: &ShardCoreOptions) -> Result<(), StorageError> {
    let mut storage = ReplicaStorage::open((options.disk)(), StorageOptions::default())?;
    let term = storage.hard_state().map_or(0, |state| state.term) + 1;
    storage.set_hard_state(HardState {
        term,
        voted_for: options.identity.0,
        node: options.identity.0,
    })?;
    let single_voter = VoterSet {
        voters: vec![options.identity.0],
        learners: Vec::new(),
    };
    storage.append([LogEntry {
        index: storage.last_index() + 1,
        term,
        payload: Some(Payload::Voters(single_voter)),
    }]);
    storage.sync()
}
