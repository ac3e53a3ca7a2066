//! The replicated log of one shard: entries in memory, segments on disk.
//!
//! Entries are appended in memory; [`SegmentedLog::sync`] writes everything new as one batch and
//! syncs it. What is not synced is distinguished by its index, so a failed batch is dropped cleanly.

use std::collections::VecDeque;

use millford_api::replication::LogEntry;
use prost::Message;

use crate::segment::Segment;
use crate::segment_recovery::RecoveredSegment;
use crate::{Disk, StorageError, StorageOptions};

/// The log. Entry `first_index` is the first in memory; what came before is in a snapshot.
#[derive(Debug)]
pub struct SegmentedLog {
    options: StorageOptions,
    /// On disk, oldest first, contiguous; the last one is appended to.
    segments: Vec<Segment>,
    entries: VecDeque<LogEntry>,
    first_index: u64,
    synced_index: u64,
}

impl SegmentedLog {
    /// An empty log whose first entry will be `first_index`.
    pub(crate) fn empty(options: StorageOptions, first_index: u64) -> Self {
        Self {
            options,
            segments: Vec::new(),
            entries: VecDeque::new(),
            first_index,
            synced_index: first_index - 1,
        }
    }

    /// Adds a segment that was read after a restart; it must continue the log. Its entries are durable.
    pub(crate) fn push_recovered(&mut self, recovered: RecoveredSegment) {
        self.append(recovered.entries);
        self.segments.push(recovered.segment);
        self.synced_index = self.last_index();
    }

    /// File name of the oldest segment.
    pub(crate) fn first_segment_name(&self) -> Option<&str> {
        self.segments.first().map(|segment| segment.name.as_str())
    }

    /// Index of the first entry in memory.
    #[must_use]
    pub fn first_index(&self) -> u64 {
        self.first_index
    }

    /// Index of the last entry; one less than the first when empty.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.first_index + self.entries.len() as u64 - 1
    }

    /// Index of the last entry that is durable.
    #[must_use]
    pub fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// Bytes of all segments.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(Segment::bytes).sum()
    }

    /// The entry at an index.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.first_index)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `from` up to and with `to`, at most `max_bytes` but at least one if there is.
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

    /// First entry to retain when a snapshot covers everything up to `covered`.
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

    /// Appends in memory. Each entry must follow the last one.
    pub(crate) fn append(&mut self, entries: impl IntoIterator<Item = LogEntry>) {
        for entry in entries {
            debug_assert_eq!(entry.index, self.last_index() + 1);
            self.entries.push_back(entry);
        }
    }

    /// Drops the entries from `index` on. What was on disk is truncated durably before this returns,
    /// so that no later append can end up behind bytes that should have been removed.
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
        // Newest first: a crash on the way leaves a shorter log without a gap.
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

    /// Drops what is not durable, after a write that found no space.
    pub(crate) fn drop_unsynced(&mut self) {
        let remaining = (self.synced_index + 1).saturating_sub(self.first_index);
        self.entries
            .truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
    }

    /// Makes every entry durable with one fsync (more only when segments fill up on the way).
    ///
    /// # Errors
    /// After [`StorageError::Full`] the file is as it was before; after any other error its state
    /// is unknown.
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

    /// Begins a new segment when there is none or the last one is full. The last one is synced
    /// completely: every batch is synced before the next one begins.
    fn open_segment(&mut self, first_index: u64) {
        let full = match self.segments.last() {
            None => true,
            Some(segment) => segment.bytes() >= self.options.segment_bytes,
        };
        if full {
            self.segments.push(Segment::new(first_index));
        }
    }

    /// Removes segments that end before `index`, oldest first, and forgets entries before it.
    pub(crate) fn compact_before(
        &mut self,
        disk: &mut dyn Disk,
        index: u64,
    ) -> Result<(), StorageError> {
        // The last segment stays, so that its name still records where the log continues.
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

    /// Removes everything; the next entry will be `first_index`.
    ///
    /// Newest first: what a crash leaves is a prefix of the old log, which recovery recognises as
    /// not reaching the snapshot. A suffix could be mistaken for what follows the snapshot.
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

/// Rolls back a batch that found no space. If that fails too, the error is final.
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
