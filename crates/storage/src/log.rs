//! The replicated log of one shard: entries in memory and segments on disk.
//!
//! Entries are appended in memory; [`SegmentedLog::sync`] writes all new entries as one batch and
//! syncs it. The index of the last synced entry separates durable entries from new ones, so the
//! entries of a failed batch can be dropped.

use std::collections::VecDeque;

use millford_api::replication::LogEntry;
use prost::Message;

use crate::segment::Segment;
use crate::segment_recovery::RecoveredSegment;
use crate::{Disk, StorageError, StorageOptions};

/// A log whose entries before `first_index` were compacted into a snapshot.
#[derive(Debug)]
pub struct SegmentedLog {
    options: StorageOptions,
    /// Segments on disk, oldest first and contiguous. Only the last one is appended to.
    segments: Vec<Segment>,
    /// Entries from `first_index` on, synced or not.
    entries: VecDeque<LogEntry>,
    first_index: u64,
    /// Index of the last durable entry.
    synced_index: u64,
}

impl SegmentedLog {
    /// Creates an empty log whose first entry will have index `first_index`.
    pub(crate) fn empty(options: StorageOptions, first_index: u64) -> Self {
        Self {
            options,
            segments: Vec::new(),
            entries: VecDeque::new(),
            first_index,
            synced_index: first_index - 1,
        }
    }

    /// Adds a segment that was read after a restart. It must continue the log, and its entries must
    /// be durable.
    pub(crate) fn push_recovered(&mut self, recovered: RecoveredSegment) {
        self.append(recovered.entries);
        self.segments.push(recovered.segment);
        self.synced_index = self.last_index();
    }

    /// File name of the oldest segment; `None` if there is none.
    pub(crate) fn first_segment_name(&self) -> Option<&str> {
        self.segments.first().map(|segment| segment.name.as_str())
    }

    /// Index of the first entry in memory.
    #[must_use]
    pub fn first_index(&self) -> u64 {
        self.first_index
    }

    /// Index of the last entry, synced or not; `first_index - 1` if the log is empty.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.first_index + self.entries.len() as u64 - 1
    }

    /// Index of the last entry that is durable.
    #[must_use]
    pub fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// Total bytes of the records in all segments.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(Segment::bytes).sum()
    }

    /// The entry at an index; `None` if the log does not contain it.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.first_index)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `from` to `to`, both included, up to `max_bytes` in total. The first entry is
    /// returned even if it is larger. Stops at the first index that the log does not contain.
    #[must_use]
    pub fn entries(&self, from: u64, to: u64, max_bytes: usize) -> Vec<LogEntry> {
        let mut result = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while index <= to {
            let Some(entry) = self.entry(index) else {
                break;
            };
            bytes += entry.encoded_len();
            if bytes > max_bytes && !result.is_empty() {
                break;
            }
            result.push(entry.clone());
            index += 1;
        }
        result
    }

    /// Index of the first entry to retain when a snapshot covers all entries up to `covered`.
    pub(crate) fn first_retained_index(&self, covered: u64, options: &StorageOptions) -> u64 {
        let mut first = covered + 1;
        let mut bytes = 0;
        while covered + 1 - first < options.retained_entries {
            let Some(entry) = self.entry(first - 1) else {
                break;
            };
            bytes += entry.encoded_len();
            if bytes > options.retained_bytes {
                break;
            }
            first -= 1;
        }
        first
    }

    /// Appends entries in memory. Each entry must have the index after the last one.
    pub(crate) fn append(&mut self, entries: impl IntoIterator<Item = LogEntry>) {
        for entry in entries {
            debug_assert_eq!(entry.index, self.last_index() + 1);
            self.entries.push_back(entry);
        }
    }

    /// Drops the entries from `index` on. Records on disk are truncated durably before this
    /// returns, so that a later append can never follow bytes that should have been removed.
    pub(crate) fn truncate_from(
        &mut self,
        disk: &mut dyn Disk,
        index: u64,
    ) -> Result<(), StorageError> {
        let remaining =
            usize::try_from(index.saturating_sub(self.first_index)).unwrap_or(usize::MAX);
        self.entries.truncate(remaining);
        if index > self.synced_index {
            return Ok(());
        }
        // Newest first, so that a crash in between leaves a shorter log without a gap.
        while let Some(segment) = self.segments.pop_if(|segment| segment.first_index >= index) {
            disk.remove(&segment.name)?;
        }
        if let Some(segment) = self.segments.last_mut() {
            let bytes = segment.truncate_from(index);
            disk.truncate(&segment.name, bytes)?;
            disk.sync(&segment.name)?;
        }
        self.synced_index = index - 1;
        Ok(())
    }

    /// Drops the entries that are not durable, after a failed write.
    pub(crate) fn drop_unsynced(&mut self) {
        let remaining = (self.synced_index + 1).saturating_sub(self.first_index);
        self.entries
            .truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
    }

    /// Makes all entries durable with one fsync, or with several if they exceed the size of a
    /// segment.
    ///
    /// # Errors
    /// After [`StorageError::Full`] the file has no bytes of the failed batch; after any other
    /// error its state is unknown.
    pub(crate) fn sync(&mut self, disk: &mut dyn Disk) -> Result<(), StorageError> {
        while self.synced_index < self.last_index() {
            self.sync_batch(disk)?;
        }
        Ok(())
    }

    fn sync_batch(&mut self, disk: &mut dyn Disk) -> Result<(), StorageError> {
        let from = self.synced_index + 1;
        let limit = usize::try_from(self.options.segment_bytes).unwrap_or(usize::MAX);
        let batch = self.entries(from, self.last_index(), limit);
        self.open_segment(from);
        let Some(segment) = self.segments.last_mut() else {
            return Err(StorageError::Failed);
        };
        let encoded = segment.encode(&batch);
        if let Err(error) = disk.append(&segment.name, &encoded.buffer) {
            return Err(undo_append(disk, segment, error));
        }
        disk.sync(&segment.name)?;
        for end in encoded.record_ends {
            segment.push(end);
        }
        self.synced_index += batch.len() as u64;
        Ok(())
    }

    /// Starts a new segment if there is none or the last one is full. The last one is synced
    /// completely then, because each batch is synced before the next one begins.
    fn open_segment(&mut self, first_index: u64) {
        let full = match self.segments.last() {
            None => true,
            Some(segment) => segment.bytes() >= self.options.segment_bytes,
        };
        if full {
            self.segments.push(Segment::new(first_index));
        }
    }

    /// Removes segments that end before `index`, oldest first, and drops the durable entries before
    /// `index` from memory.
    pub(crate) fn compact_before(
        &mut self,
        disk: &mut dyn Disk,
        index: u64,
    ) -> Result<(), StorageError> {
        // The last segment is kept, because its name records the index at which the log continues.
        while self.segments.len() > 1 && self.segments[0].last_index() < index {
            disk.remove(&self.segments[0].name)?;
            self.segments.remove(0);
        }
        let first_remaining = index.min(self.synced_index + 1);
        while self.first_index < first_remaining && self.entries.pop_front().is_some() {
            self.first_index += 1;
        }
        Ok(())
    }

    /// Removes all entries and segments; the next entry will have index `first_index`.
    ///
    /// Segments are removed newest first. A crash in between then leaves a prefix of the old log,
    /// which recovery recognises because it does not reach the snapshot. A suffix could be mistaken
    /// for the entries that follow the snapshot.
    pub(crate) fn clear(
        &mut self,
        disk: &mut dyn Disk,
        first_index: u64,
    ) -> Result<(), StorageError> {
        while let Some(segment) = self.segments.pop() {
            disk.remove(&segment.name)?;
        }
        *self = Self::empty(self.options, first_index);
        Ok(())
    }
}

/// Removes the bytes of a batch for which there was not enough space; does nothing after any other
/// error. Returns the original error, or the error of the removal, which is final.
fn undo_append(disk: &mut dyn Disk, segment: &Segment, error: StorageError) -> StorageError {
    if !error.is_full() {
        return error;
    }
    let undone = disk
        .truncate(&segment.name, segment.bytes())
        .and_then(|()| disk.sync(&segment.name));
    match undone {
        Ok(()) => error,
        Err(failure) => failure,
    }
}
