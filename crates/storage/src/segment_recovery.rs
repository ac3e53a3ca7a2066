//! Reading a segment after a restart: which bytes are whole records, and whether the rest is a
//! torn tail or damage.

use millford_api::replication::LogEntry;

use crate::whitening::WORD_BYTES;
use crate::record::{self, RecordAt};
use crate::segment::Segment;
use crate::{Disk, StorageError};

/// A disk writes sectors whole; a lost one reads as zeros.
const SECTOR_BYTES: usize = 512;

/// A segment as it was read.
pub struct RecoveredSegment {
    pub segment: Segment,
    pub entries: Vec<LogEntry>,
}

/// Reads a segment. Only the last one may have a torn tail, which is cut; what stays is durable.
pub fn recover(
    disk: &mut dyn Disk,
    mut segment: Segment,
    is_last: bool,
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
        let torn = is_last && is_torn_write(&bytes, offset);
        if !torn {
            let reason = "a record is damaged";
            return Err(StorageError::corrupt(&segment.name, offset, reason));
        }
    }
    if is_last && !bytes.is_empty() {
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
    // No space for a copy: the file itself is cut and synced. The cut is durable before anything is
    // appended, else old and new bytes could mix after a crash.
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

/// Whether the bytes from `offset` on, which begin with no whole record, are an unsynced tail.
///
/// A write that was cut leaves a short record or lost sectors. Any other fault, such as a flipped
/// bit, may have hit entries that were synced and acknowledged; cutting them would lose them
/// silently, so it is damage.
fn is_torn_write(bytes: &[u8], offset: usize) -> bool {
    if was_synced(bytes, offset) {
        return false;
    }
    match record::read(bytes, offset) {
        RecordAt::Short => true,
        RecordAt::Entry { .. } | RecordAt::Corrupt => has_lost_sector(bytes, offset),
    }
}

/// Whether a later record tells that the bytes at `offset` had been synced before it was written.
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
