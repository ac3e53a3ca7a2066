//! Forced recovery: one replica becomes the only voter of its group, as ordered by an operator.

use millford_api::replication::{HardState, LogEntry, VoterSet, log_entry::Payload};
use millford_storage::{ReplicaStorage, StorageError, StorageOptions};

use super::options::ShardCoreOptions;

/// Appends a voter set with this node as the only voter, in a new term.
///
/// This gives up the quorum's guarantee: entries that only the lost replicas held are lost, and a
/// lost replica that returns holds a different history. Its term is smaller, so no replica follows
/// it; it is no longer in the group and has to start over.
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
