//! The storage of one replica: log, hard state and snapshot on one disk.

use std::sync::Arc;

use millford_api::replication::{HardState, LogEntry};
use prost::Message;

use crate::snapshot::{self, Snapshot, SnapshotMeta};
use crate::{Disk, SegmentedLog, StorageError, StorageOptions, checked_file, log_recovery};

/// File name of the hard state: term, vote and node identity.
const HARD_STATE_FILE: &str = "hard-state";

/// Durable state of one replica.
pub struct ReplicaStorage {
    disk: Box<dyn Disk>,
    options: StorageOptions,
    hard_state: Option<HardState>,
    log: SegmentedLog,
    snapshot: Option<Snapshot>,
    failed: bool,
}

impl ReplicaStorage {
    /// Reads the state on the disk and truncates a torn tail of the log.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] means that synced data is corrupt or missing. The owner must not
    /// use this identity any more: it clears the directory and starts empty under a new identity,
    /// which joins the group as a learner.
    pub fn open(mut disk: Box<dyn Disk>, options: StorageOptions) -> Result<Self, StorageError> {
        let hard_state = read_hard_state(disk.as_ref())?;
        let snapshot = snapshot::recover(disk.as_mut())?;
        let meta = snapshot.as_ref().map(|snapshot| &snapshot.meta);
        let log = log_recovery::recover(disk.as_mut(), options, meta)?;
        let has_data = snapshot.is_some() || log.last_index() > 0;
        if hard_state.is_none() && has_data {
            // The hard state is written before any other data, so it was lost. Without it the
            // replica could vote twice in a term.
            let reason = "the hard state is missing";
            return Err(StorageError::corrupt(HARD_STATE_FILE, 0, reason));
        }
        Ok(Self {
            disk,
            options,
            hard_state,
            log,
            snapshot,
            failed: false,
        })
    }

    /// Whether no hard state was ever stored, and therefore no other data either.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
    }

    /// Term, vote and node identity; `None` before they were first stored.
    #[must_use]
    pub fn hard_state(&self) -> Option<HardState> {
        self.hard_state
    }

    /// Stores term, vote and node identity; durable on return.
    ///
    /// # Errors
    /// Any error of the disk; all but [`StorageError::Full`] are final.
    pub fn set_hard_state(&mut self, hard_state: HardState) -> Result<(), StorageError> {
        self.check_usable()?;
        let body = hard_state.encode_to_vec();
        let result = checked_file::replace(self.disk.as_mut(), HARD_STATE_FILE, &body);
        self.record_failure(result)?;
        self.hard_state = Some(hard_state);
        Ok(())
    }

    /// Index of the first entry that the log still contains.
    #[must_use]
    pub fn first_index(&self) -> u64 {
        self.log.first_index()
    }

    /// Index of the last entry, synced or not. If the log is empty, the snapshot's index, or 0
    /// without a snapshot.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index of the last durable entry.
    #[must_use]
    pub fn synced_index(&self) -> u64 {
        self.log.synced_index()
    }

    /// Total bytes of the log's records on disk.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.log.bytes()
    }

    /// Term of the entry at an index, also if it is the snapshot's last entry. 0 for index 0,
    /// `None` if the log does not contain the entry.
    #[must_use]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == 0 {
            return Some(0);
        }
        if let Some(entry) = self.log.entry(index) {
            return Some(entry.term);
        }
        let meta = &self.snapshot.as_ref()?.meta;
        (meta.index == index).then_some(meta.term)
    }

    /// The entry at an index; `None` if the log does not contain it.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        self.log.entry(index)
    }

    /// Entries from `from` to `to`, both included, up to `max_bytes` in total. The first entry is
    /// returned even if it is larger. Stops at the first index that the log does not contain.
    #[must_use]
    pub fn entries(&self, from: u64, to: u64, max_bytes: usize) -> Vec<LogEntry> {
        self.log.entries(from, to, max_bytes)
    }

    /// Appends entries, each with the index after the last one. Durable only after
    /// [`ReplicaStorage::sync`].
    pub fn append(&mut self, entries: impl IntoIterator<Item = LogEntry>) {
        self.log.append(entries);
    }

    /// Drops the entries from `index` on; durable on return.
    ///
    /// # Errors
    /// Any error of the disk; all but [`StorageError::Full`] are final.
    pub fn truncate_from(&mut self, index: u64) -> Result<(), StorageError> {
        self.check_usable()?;
        let result = self.log.truncate_from(self.disk.as_mut(), index);
        self.record_failure(result)
    }

    /// Makes all appended entries durable with one fsync, or with several if they exceed the size
    /// of a segment.
    ///
    /// # Errors
    /// Any error of the disk; all but [`StorageError::Full`] are final. Entries that are not
    /// durable are dropped.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.check_usable()?;
        let result = self.log.sync(self.disk.as_mut());
        if result.is_err() {
            self.log.drop_unsynced();
        }
        self.record_failure(result)
    }

    /// Drops the entries that are not durable.
    pub fn drop_unsynced(&mut self) {
        self.log.drop_unsynced();
    }

    /// The newest snapshot; `None` before the first.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Stores a snapshot of this replica's own state and removes the log entries that it covers,
    /// except those to retain.
    ///
    /// # Errors
    /// Any error of the disk; all but [`StorageError::Full`] are final.
    pub fn save_snapshot(&mut self, meta: SnapshotMeta, data: Vec<u8>) -> Result<(), StorageError> {
        let index = meta.index;
        self.write_snapshot(meta, data)?;
        let first_retained_index = self.log.first_retained_index(index, &self.options);
        self.compact(first_retained_index)
    }

    /// Stores a snapshot received from the leader. The log is retained if it contains the
    /// snapshot's last entry with the same term, else it is removed completely.
    ///
    /// # Errors
    /// Any error of the disk; all but [`StorageError::Full`] are final.
    pub fn install_snapshot(
        &mut self,
        meta: SnapshotMeta,
        data: Vec<u8>,
    ) -> Result<(), StorageError> {
        let index = meta.index;
        let retains_log = self
            .log
            .entry(index)
            .is_some_and(|entry| entry.term == meta.term);
        self.write_snapshot(meta, data)?;
        if retains_log {
            return Ok(());
        }
        let result = self.log.clear(self.disk.as_mut(), index + 1);
        self.record_failure(result)
    }

    /// Removes log entries before `index`, as far as the newest snapshot covers them.
    ///
    /// # Errors
    /// Any error of the disk; all but [`StorageError::Full`] are final.
    pub fn compact(&mut self, index: u64) -> Result<(), StorageError> {
        self.check_usable()?;
        let covered = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.meta.index);
        let result = self
            .log
            .compact_before(self.disk.as_mut(), index.min(covered + 1));
        self.record_failure(result)
    }

    fn write_snapshot(&mut self, meta: SnapshotMeta, data: Vec<u8>) -> Result<(), StorageError> {
        self.check_usable()?;
        let snapshot = Snapshot {
            meta,
            data: Arc::from(data),
        };
        let result = snapshot::save(self.disk.as_mut(), &snapshot);
        self.record_failure(result)?;
        self.snapshot = Some(snapshot);
        Ok(())
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        Ok(())
    }

    /// Marks the storage as failed after any error but a full disk: the content of the disk is
    /// unknown then, and nothing is retried.
    fn record_failure(&mut self, result: Result<(), StorageError>) -> Result<(), StorageError> {
        if result.as_ref().is_err_and(|error| !error.is_full()) {
            self.failed = true;
        }
        result
    }
}

fn read_hard_state(disk: &dyn Disk) -> Result<Option<HardState>, StorageError> {
    let Some(body) = checked_file::read(disk, HARD_STATE_FILE)? else {
        return Ok(None);
    };
    let Ok(hard_state) = HardState::decode(body.as_slice()) else {
        let reason = "the hard state cannot be decoded";
        return Err(StorageError::corrupt(HARD_STATE_FILE, 0, reason));
    };
    Ok(Some(hard_state))
}
