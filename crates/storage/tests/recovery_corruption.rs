//! Recovery after truncations and bit flips at every byte of a small log, the hard state and a
//! snapshot.

mod support;

use millford_api::replication::{HardState, LogEntry};
use millford_storage::{StorageError, StorageOptions};
use support::crash_disk::CrashDisk;
use support::{all_entries, command, open, snapshot_meta};

/// Bytes that a disk writes completely or not at all.
const SECTOR_BYTES: usize = 512;
/// Small limits, so that the log has several segments.
const SMALL_SEGMENTS: StorageOptions = StorageOptions {
    segment_bytes: 60,
    retained_entries: 0,
    retained_bytes: usize::MAX,
};

fn entries() -> Vec<LogEntry> {
    // Includes long runs of zeros, which could be mistaken for lost sectors, and a command longer
    // than a sector.
    let bodies: [&[u8]; 7] = [b"a", b"", &[0; 600], b"text", &[0xff; 40], &[0; 7], b"z"];
    let numbered = (1..).zip(bodies);
    numbered
        .map(|(index, body)| command(index, index / 3 + 1, body))
        .collect()
}

/// Creates a disk with a log that was written in several synced batches.
fn disk_with_log(options: StorageOptions) -> CrashDisk {
    let disk = CrashDisk::default();
    let mut storage = open(&disk, options).expect("empty disk");
    storage.set_hard_state(hard_state()).expect("hard state");
    for batch in entries().chunks(2) {
        storage.append(batch.to_vec());
        storage.sync().expect("sync");
    }
    disk
}

fn hard_state() -> HardState {
    HardState {
        term: 9,
        voted_for: 4,
        node: 4,
    }
}

#[test]
fn a_log_truncated_at_any_byte_recovers_a_prefix() {
    let disk = disk_with_log(StorageOptions::default());
    let name = disk.names("log-").remove(0);
    let bytes = disk.bytes(&name);
    let mut entry_counts = Vec::new();
    for length in 0..=bytes.len() {
        let corrupted = disk.copy();
        corrupted.set_bytes(&name, bytes[..length].to_vec());
        let mut storage = open(&corrupted, StorageOptions::default()).expect("a torn write");
        let recovered = all_entries(&storage);
        assert_eq!(
            recovered,
            entries()[..recovered.len()],
            "truncated to {length}"
        );
        entry_counts.push(recovered.len());
        let next = command(recovered.len() as u64 + 1, 50, b"after");
        storage.append([next.clone()]);
        storage.sync().expect("sync");
        let reopened = open(&corrupted, StorageOptions::default()).expect("clean");
        assert_eq!(all_entries(&reopened).last(), Some(&next));
        assert_eq!(all_entries(&reopened).len(), recovered.len() + 1);
    }
    assert!(entry_counts.is_sorted());
    assert_eq!(entry_counts.last(), Some(&entries().len()));
}

#[test]
fn a_flip_at_any_byte_of_the_log_is_corruption() {
    let disk = disk_with_log(SMALL_SEGMENTS);
    let names = disk.names("log-");
    assert!(names.len() > 2);
    for name in names {
        assert_every_flip_is_corruption(&disk, &name, SMALL_SEGMENTS);
    }
}

#[test]
fn a_flip_at_any_byte_of_the_last_synced_batch_is_corruption() {
    let disk = disk_with_log(StorageOptions::default());
    let name = disk.names("log-").remove(0);
    assert_every_flip_is_corruption(&disk, &name, StorageOptions::default());
}

fn assert_every_flip_is_corruption(disk: &CrashDisk, name: &str, options: StorageOptions) {
    let bytes = disk.bytes(name);
    for offset in 0..bytes.len() {
        for mask in [0x01, 0x80, 0xff, bytes[offset]] {
            let mut flipped = bytes.clone();
            flipped[offset] ^= mask;
            if mask == 0 {
                continue;
            }
            let corrupted = disk.copy();
            corrupted.set_bytes(name, flipped);
            let result = open(&corrupted, options);
            let is_corrupt = matches!(result, Err(StorageError::Corrupt { .. }));
            assert!(is_corrupt, "{name} byte {offset} mask {mask:#x}");
        }
    }
}

#[test]
fn a_truncated_sealed_segment_is_corruption() {
    let disk = disk_with_log(SMALL_SEGMENTS);
    let name = disk.names("log-").remove(0);
    let bytes = disk.bytes(&name);
    for length in 0..bytes.len() {
        let corrupted = disk.copy();
        corrupted.set_bytes(&name, bytes[..length].to_vec());
        let result = open(&corrupted, SMALL_SEGMENTS);
        assert!(
            matches!(result, Err(StorageError::Corrupt { .. })),
            "truncated to {length}"
        );
    }
}

#[test]
fn a_lost_sector_is_a_torn_write_only_in_the_last_batch() {
    let disk = CrashDisk::default();
    let mut storage = open(&disk, StorageOptions::default()).expect("empty disk");
    storage.set_hard_state(hard_state()).expect("hard state");
    for index in 1..=3 {
        storage.append([command(index, 1, &[7; 2000])]);
        storage.sync().expect("sync");
    }
    let name = disk.names("log-").remove(0);
    let bytes = disk.bytes(&name);
    let record_bytes = bytes.len() / 3;
    for sector in 0..bytes.len() / SECTOR_BYTES {
        let lost = sector * SECTOR_BYTES..(sector + 1) * SECTOR_BYTES;
        let corrupted = disk.copy();
        let mut changed = bytes.clone();
        changed[lost.clone()].fill(0);
        corrupted.set_bytes(&name, changed);
        let result = open(&corrupted, StorageOptions::default());
        if lost.start >= record_bytes * 2 {
            assert_eq!(result.expect("torn").last_index(), 2);
        } else if lost.end <= record_bytes * 2 {
            assert!(
                matches!(result, Err(StorageError::Corrupt { .. })),
                "sector {sector}"
            );
        }
    }
}

#[test]
fn any_corruption_of_hard_state_or_snapshot_is_reported() {
    let disk = disk_with_log(StorageOptions::default());
    let mut storage = open(&disk, StorageOptions::default()).expect("clean");
    storage
        .save_snapshot(snapshot_meta(5, 2), b"state".to_vec())
        .expect("snapshot");
    let snapshot_name = disk.names("snapshot-").remove(0);
    for name in ["hard-state", &snapshot_name] {
        assert_every_flip_is_corruption(&disk, name, StorageOptions::default());
        let bytes = disk.bytes(name);
        for length in 0..bytes.len() {
            let corrupted = disk.copy();
            corrupted.set_bytes(name, bytes[..length].to_vec());
            let result = open(&corrupted, StorageOptions::default());
            assert!(
                matches!(result, Err(StorageError::Corrupt { .. })),
                "{name} truncated to {length}"
            );
        }
    }
}

#[test]
fn a_missing_segment_or_hard_state_is_corruption() {
    let disk = disk_with_log(SMALL_SEGMENTS);
    let names = disk.names("log-");
    let (_, removable) = names.split_last().expect("segments");
    for name in removable.iter().map(String::as_str).chain(["hard-state"]) {
        let mut corrupted = disk.copy();
        millford_storage::Disk::remove(&mut corrupted, name).expect("remove");
        let result = open(&corrupted, SMALL_SEGMENTS);
        assert!(
            matches!(result, Err(StorageError::Corrupt { .. })),
            "{name}"
        );
    }
}
