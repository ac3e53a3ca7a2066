//! Shared fixture: an in-memory disk that loses unsynced data, and sample entries and snapshots.
#![allow(dead_code, reason = "each test file uses only some of these items")]

pub(crate) mod crash_disk;
pub(crate) mod file_state;

use millford_api::replication::{LogEntry, VoterSet, log_entry::Payload};
use millford_storage::{ReplicaStorage, SnapshotMeta, StorageError, StorageOptions};

use crash_disk::CrashDisk;

/// Creates an entry with a command payload.
pub(crate) fn command(index: u64, term: u64, bytes: &[u8]) -> LogEntry {
    LogEntry {
        index,
        term,
        payload: Some(Payload::Command(bytes.to_vec())),
    }
}

/// Opens storage on a shared handle of the disk.
pub(crate) fn open(
    disk: &CrashDisk,
    options: StorageOptions,
) -> Result<ReplicaStorage, StorageError> {
    ReplicaStorage::open(Box::new(disk.clone()), options)
}

/// Creates the metadata of a snapshot without voters.
pub(crate) fn snapshot_meta(index: u64, term: u64) -> SnapshotMeta {
    SnapshotMeta {
        index,
        term,
        voters: VoterSet::default(),
    }
}

/// All entries of the log.
pub(crate) fn all_entries(storage: &ReplicaStorage) -> Vec<LogEntry> {
    storage.entries(storage.first_index(), u64::MAX, usize::MAX)
}
