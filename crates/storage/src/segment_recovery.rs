//! Reading a segment after a restart: which bytes are complete records, and whether the rest is a
//! torn write or corruption.

use millford_api::replication::LogEntry;

use crate::record::{self, RecordAt};
use crate::segment::Segment;
use crate::whitening::WORD_BYTES;
use crate::{Disk, StorageError};

/// A disk writes each sector completely or not at all; a lost one reads as zeros.
const SECTOR_BYTES: usize = 512;

/// Whether a segment was still appended to when the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentKind {
    /// A newer segment exists: this one had been synced completely before.
    Sealed,
    /// The last segment, which may end with a torn write.
    Active,
}

/// A segment as it was read.
pub(crate) struct RecoveredSegment {
    pub(crate) segment: Segment,
    pub(crate) entries: Vec<LogEntry>,
}

/// Reads a segment. Only the active one may have a torn tail, which is truncated; what remains is
/// durable.
///
/// # Errors
/// [`StorageError::Corrupt`] when synced bytes are damaged; any error of the disk.
pub(crate) fn recover(
    disk: &mut dyn Disk,
    mut segment: Segment,
    kind: SegmentKind,
) -> Result<RecoveredSegment, StorageError> {
    let bytes = disk.read(&segment.name)?.unwrap_or_default();
    let mut entries = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let RecordAt::Entry { entry, end } = record::read(&bytes, offset) else {
            break;
        };
        check_index(&segment, &entry, offset)?;
        segment.push(end as u64);
        entries.push(entry);
        offset = end;
    }
    if offset < bytes.len() {
        let is_torn = kind == SegmentKind::Active && is_torn_write(&bytes, offset);
        if !is_torn {
            let reason = "a record is damaged";
            return Err(StorageError::corrupt(&segment.name, offset, reason));
        }
    }
    if kind == SegmentKind::Active && !bytes.is_empty() {
        make_durable(disk, &segment, &bytes[..offset])?;
    }
    Ok(RecoveredSegment { segment, entries })
}

/// Rewrites what was read, without a torn tail. Bytes that were read need not be on the disk: the
/// process may have died before its sync, or after a sync that failed and dropped them. From here
/// on they count as synced, so they are written anew.
fn make_durable(disk: &mut dyn Disk, segment: &Segment, bytes: &[u8]) -> Result<(), StorageError> {
    match disk.replace(&segment.name, bytes) {
        Err(error) if error.is_full() => {}
        result => return result,
    }
    // No space for a copy: the file itself is truncated and synced. The truncation is durable before
    // anything is appended, else old and new bytes could mix after a crash.
    disk.truncate(&segment.name, bytes.len() as u64)?;
    disk.sync(&segment.name)
}

fn check_index(segment: &Segment, entry: &LogEntry, offset: usize) -> Result<(), StorageError> {
    if entry.index == segment.last_index() + 1 {
        return Ok(());
    }
    let reason = "an entry has the wrong index";
    Err(StorageError::corrupt(&segment.name, offset, reason))
}

/// Whether the bytes from `offset` on, which begin with no complete record, are an unsynced tail.
///
/// A torn write leaves a truncated record or lost sectors. Any other fault, such as a flipped bit,
/// may have hit entries that were synced and acknowledged; truncating the log there would lose them
/// silently, so it is corruption.
fn is_torn_write(bytes: &[u8], offset: usize) -> bool {
    if was_synced(bytes, offset) {
        return false;
    }
    match record::read(bytes, offset) {
        RecordAt::Truncated => true,
        RecordAt::Entry { .. } | RecordAt::Corrupt => has_lost_sector(bytes, offset),
    }
}

/// Whether a later record proves that the bytes at `offset` had been synced before it was written.
fn was_synced(bytes: &[u8], offset: usize) -> bool {
    (offset..bytes.len())
        .step_by(WORD_BYTES)
        .filter_map(|candidate| record::read_header(bytes, candidate))
        .any(|header| header.batch_start > offset)
}

fn has_lost_sector(bytes: &[u8], offset: usize) -> bool {
    let mut start = offset;
    while start < bytes.len() {
        let sector_end = (start / SECTOR_BYTES + 1) * SECTOR_BYTES;
        let end = sector_end.min(bytes.len());
        if bytes[start..end].iter().all(|byte| *byte == 0) {
            return true;
        }
        start = end;
    }
    false
}
