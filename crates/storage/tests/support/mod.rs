//! The fixture of the storage's tests: a disk in memory that loses what was not synced, and samples.
#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod crash_disk;
pub(crate) mod file_state;

use millford_api::replication::{LogEntry, VoterSet, log_entry::Payload};
use millford_storage::{ReplicaStorage, SnapshotMeta, StorageError, StorageOptions};

use crash_disk::CrashDisk;

/// An entry with a command.
pub(crate) fn command(index: u64, term: u64, bytes: &[u8]) -> LogEntry {
    LogEntry {
        index,
        term,
        payload: Some(Payload::Command(bytes.to_vec())),
    }
}

/// Opens a storage on a handle of the disk.
pub(crate) fn open(
    disk: &CrashDisk,
    options: StorageOptions,
) -> Result<ReplicaStorage, StorageError> {
    ReplicaStorage::open(Box::new(disk.clone()), options)
}

/// What a snapshot covers, without voters.
pub(crate) fn snapshot_meta(index: u64, term: u64) -> SnapshotMeta {
    SnapshotMeta {
        index,
        term,
        voters: VoterSet::default(),
    }
}

/// Every entry that the log holds.
pub(crate) fn all_entries(storage: &ReplicaStorage) -> Vec<LogEntry> {
    storage.entries(storage.first_index(), u64::MAX, usize::MAX)
}
