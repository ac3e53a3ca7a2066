//! Reading a segment after a restart: finds the complete records and decides whether the remaining
//! bytes are a torn write or corruption.

use millford_api::replication::LogEntry;

use crate::record::{self, RecordAt};
use crate::segment::Segment;
use crate::whitening::WORD_BYTES;
use crate::{Disk, StorageError};

/// Bytes that a disk writes completely or not at all. A sector that was not written reads as zeros.
const SECTOR_BYTES: usize = 512;

/// Whether the process may have been appending to a segment when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentKind {
    /// A newer segment exists, so this one had been synced completely before.
    Sealed,
    /// The last segment, which may end with a torn write.
    Active,
}

/// A segment that was read, and its entries.
pub(crate) struct RecoveredSegment {
    pub(crate) segment: Segment,
    pub(crate) entries: Vec<LogEntry>,
}

/// Reads a segment and truncates a torn tail, which only the active segment may have. The returned
/// entries are durable.
///
/// # Errors
/// [`StorageError::Corrupt`] when synced bytes are corrupt; any error of the disk.
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
            let reason = "a record is corrupt";
            return Err(StorageError::corrupt(&segment.name, offset, reason));
        }
    }
    if kind == SegmentKind::Active && !bytes.is_empty() {
        make_durable(disk, &segment, &bytes[..offset])?;
    }
    Ok(RecoveredSegment { segment, entries })
}

/// Rewrites a segment with the bytes that were read, without a torn tail. These bytes may be in the
/// page cache only: the earlier process may have ended before its sync, or after a failed sync,
/// which may drop pages without writing them. From here on they count as synced, so they are
/// written again.
fn make_durable(disk: &mut dyn Disk, segment: &Segment, bytes: &[u8]) -> Result<(), StorageError> {
    match disk.replace(&segment.name, bytes) {
        Err(error) if error.is_full() => {}
        result => return result,
    }
    // Without space for a copy, the file itself is truncated and synced. The truncation must be
    // durable before the next append; otherwise a crash could leave a mixture of old and new bytes.
    disk.truncate(&segment.name, bytes.len() as u64)?;
    disk.sync(&segment.name)
}

fn check_index(segment: &Segment, entry: &LogEntry, offset: usize) -> Result<(), StorageError> {
    if entry.index == segment.last_index() + 1 {
        return Ok(());
    }
    let reason = "an entry does not have the expected index";
    Err(StorageError::corrupt(&segment.name, offset, reason))
}

/// Whether the bytes from `offset` on, where no complete record begins, are a torn write of the
/// last batch.
///
/// A torn write leaves a truncated record or lost sectors. Any other fault, such as a flipped bit,
/// may affect entries that were synced and acknowledged. Truncating the log there would lose them
/// silently, so such a fault is corruption.
fn is_torn_write(bytes: &[u8], offset: usize) -> bool {
    if was_synced(bytes, offset) {
        return false;
    }
    match record::read(bytes, offset) {
        RecordAt::Truncated => true,
        RecordAt::Entry { .. } | RecordAt::Corrupt => has_lost_sector(bytes, offset),
    }
}

/// Whether the header of a later record shows that the bytes at `offset` had been synced before
/// that record was written.
fn was_synced(bytes: &[u8], offset: usize) -> bool {
    (offset..bytes.len())
        .step_by(WORD_BYTES)
        .filter_map(|candidate| record::read_header(bytes, candidate))
        .any(|header| header.batch_start > offset)
}

/// Whether all bytes of a sector from `offset` on are zeros, which whitened bytes never are in
/// practice.
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
