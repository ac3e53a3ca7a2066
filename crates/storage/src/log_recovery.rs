//! Reading the whole log after a restart.

use crate::segment::Segment;
use crate::segment_recovery::{SegmentKind, recover as recover_segment};
use crate::{Disk, SegmentedLog, SnapshotMeta, StorageError, StorageOptions};

/// Reads all segments and reconciles the log with the snapshot.
///
/// # Errors
/// [`StorageError::Corrupt`] when synced entries are corrupt or missing; any error of the disk.
pub(crate) fn recover(
    disk: &mut dyn Disk,
    options: StorageOptions,
    snapshot: Option<&SnapshotMeta>,
) -> Result<SegmentedLog, StorageError> {
    let mut log = read_segments(disk, options)?;
    let Some(meta) = snapshot else {
        return check_start(log, 0);
    };
    if continues_snapshot(&log, meta) {
        return check_start(log, meta.index);
    }
    // The process crashed after it installed the snapshot and before it removed the replaced log.
    log.clear(disk, meta.index + 1)?;
    Ok(log)
}

/// Whether the log continues the snapshot: it begins after the snapshot's last entry, or contains
/// that entry with the same term.
fn continues_snapshot(log: &SegmentedLog, meta: &SnapshotMeta) -> bool {
    if log.first_index() > meta.index {
        return true;
    }
    log.entry(meta.index)
        .is_some_and(|entry| entry.term == meta.term)
}

/// Fails if the log begins later than the entry after the snapshot, as entries are missing then.
fn check_start(log: SegmentedLog, snapshot_index: u64) -> Result<SegmentedLog, StorageError> {
    if log.first_index() <= snapshot_index + 1 {
        return Ok(log);
    }
    let name = log.first_segment_name().unwrap_or("log");
    let reason = "entries are missing before this segment";
    Err(StorageError::corrupt(name, 0, reason))
}

fn read_segments(
    disk: &mut dyn Disk,
    options: StorageOptions,
) -> Result<SegmentedLog, StorageError> {
    let mut first_indices: Vec<u64> = disk
        .list()?
        .iter()
        .filter_map(|name| Segment::first_index_in_name(name))
        .collect();
    first_indices.sort_unstable();
    let Some(first_index) = first_indices.first().copied() else {
        return Ok(SegmentedLog::empty(options, 1));
    };
    let mut log = SegmentedLog::empty(options, first_index);
    let last = first_indices.len() - 1;
    for (ordinal, first) in first_indices.into_iter().enumerate() {
        let segment = Segment::new(first);
        if first != log.last_index() + 1 {
            let reason = "entries are missing between the previous segment and this one";
            return Err(StorageError::corrupt(&segment.name, 0, reason));
        }
        let kind = if ordinal == last {
            SegmentKind::Active
        } else {
            SegmentKind::Sealed
        };
        log.push_recovered(recover_segment(disk, segment, kind)?);
    }
    Ok(log)
}
