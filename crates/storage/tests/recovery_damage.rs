//! Cuts and flips at every byte of a small log, of the hard state and of a snapshot.

mod support;

use millford_api::replication::{HardState, LogEntry, VoterSet};
use millford_storage::{ReplicaStorage, SnapshotMeta, StorageError, StorageOptions};
use support::command;
use support::crash_disk::CrashDisk;

const ALL: u64 = u64::MAX;
const SMALL_SEGMENTS: StorageOptions = StorageOptions {
    segment_bytes: 60,
    retained_entries: 0,
    retained_bytes: usize::MAX,
};

fn open(disk: &CrashDisk, options: StorageOptions) -> Result<ReplicaStorage, StorageError> {
    ReplicaStorage::open(Box::new(disk.clone()), options)
}

fn entries() -> Vec<LogEntry> {
    // Long zero runs and commands longer than a sector are in it on purpose.
    let bodies: [&[u8]; 7] = [b"a", b"", &[0; 600], b"text", &[0xff; 40], &[0; 7], b"z"];
    let numbered = (1..).zip(bodies);
    numbered
        .map(|(index, body)| command(index, index / 3 + 1, body))
        .collect()
}

/// A log in several batches, each synced.
fn written(options: StorageOptions) -> CrashDisk {
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

fn held(storage: &ReplicaStorage) -> Vec<LogEntry> {
    storage.entries(storage.first_index(), ALL, usize::MAX)
}

#[test]
fn a_log_truncated_at_any_byte_recovers_a_prefix() {
    let disk = written(StorageOptions::default());
    let name = disk.names("log-").remove(0);
    let bytes = disk.bytes(&name);
    let mut lengths = Vec::new();
    for cut in 0..=bytes.len() {
        let damaged = disk.copy();
        damaged.set_bytes(&name, bytes[..cut].to_vec());
        let mut storage = open(&damaged, StorageOptions::default()).expect("a cut is torn");
        let kept = held(&storage);
        assert_eq!(kept, entries()[..kept.len()], "cut at {cut}");
        lengths.push(kept.len());
        let next = command(kept.len() as u64 + 1, 50, b"after");
        storage.append([next.clone()]);
        storage.sync().expect("sync");
        let again = open(&damaged, StorageOptions::default()).expect("clean");
        assert_eq!(held(&again).last(), Some(&next));
        assert_eq!(held(&again).len(), kept.len() + 1);
    }
    assert!(lengths.is_sorted());
    assert_eq!(lengths.last(), Some(&entries().len()));
}

#[test]
fn a_flip_at_any_byte_of_the_log_is_corruption() {
    let disk = written(SMALL_SEGMENTS);
    let names = disk.names("log-");
    assert!(names.len() > 2);
    for name in names {
        assert_every_flip_is_corruption(&disk, &name, SMALL_SEGMENTS);
    }
}

#[test]
fn a_flip_at_any_byte_of_the_last_synced_batch_is_corruption() {
    let disk = written(StorageOptions::default());
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
            let damaged = disk.copy();
            damaged.set_bytes(name, flipped);
            let result = open(&damaged, options);
            let is_damage = matches!(result, Err(StorageError::Corrupt { .. }));
            assert!(is_damage, "{name} byte {offset} mask {mask:#x}");
        }
    }
}

#[test]
fn a_truncated_sealed_segment_is_corruption() {
    let disk = written(SMALL_SEGMENTS);
    let name = disk.names("log-").remove(0);
    let bytes = disk.bytes(&name);
    for cut in 0..bytes.len() {
        let damaged = disk.copy();
        damaged.set_bytes(&name, bytes[..cut].to_vec());
        let result = open(&damaged, SMALL_SEGMENTS);
        assert!(
            matches!(result, Err(StorageError::Corrupt { .. })),
            "cut at {cut}"
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
    for sector in 0..bytes.len() / 512 {
        let lost = sector * 512..(sector + 1) * 512;
        let damaged = disk.copy();
        let mut changed = bytes.clone();
        changed[lost.clone()].fill(0);
        damaged.set_bytes(&name, changed);
        let result = open(&damaged, StorageOptions::default());
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
    let disk = written(StorageOptions::default());
    let mut storage = open(&disk, StorageOptions::default()).expect("clean");
    let meta = SnapshotMeta {
        index: 5,
        term: 2,
        voters: VoterSet::default(),
    };
    storage
        .save_snapshot(meta, b"state".to_vec())
        .expect("snapshot");
    let snapshot_name = disk.names("snapshot-").remove(0);
    for name in ["hard-state", &snapshot_name] {
        assert_every_flip_is_corruption(&disk, name, StorageOptions::default());
        let bytes = disk.bytes(name);
        for cut in 0..bytes.len() {
            let damaged = disk.copy();
            damaged.set_bytes(name, bytes[..cut].to_vec());
            let result = open(&damaged, StorageOptions::default());
            assert!(
                matches!(result, Err(StorageError::Corrupt { .. })),
                "{name} cut at {cut}"
            );
        }
    }
}

#[test]
fn a_missing_segment_or_hard_state_is_corruption() {
    let disk = written(SMALL_SEGMENTS);
    let names = disk.names("log-");
    let (_, removable) = names.split_last().expect("segments");
    for name in removable.iter().map(String::as_str).chain(["hard-state"]) {
        let mut damaged = disk.copy();
        millford_storage::Disk::remove(&mut damaged, name).expect("remove");
        let result = open(&damaged, SMALL_SEGMENTS);
        assert!(
            matches!(result, Err(StorageError::Corrupt { .. })),
            "{name}"
        );
    }
}
