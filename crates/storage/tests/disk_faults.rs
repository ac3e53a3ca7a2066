//! Full disks and failed syncs on the simulated disk, compaction, and the same storage on real
//! files.

mod support;

use millford_api::replication::{HardState, LogEntry};
use millford_storage::{Disk, FileDisk, ReplicaStorage, StorageError, StorageOptions};
use quickcheck::quickcheck;
use support::crash_disk::{CrashDisk, Faults};
use support::{command, open, snapshot_meta};

fn open_default(disk: impl Disk + 'static) -> ReplicaStorage {
    ReplicaStorage::open(Box::new(disk), StorageOptions::default()).expect("opens")
}

/// Opens storage on an empty disk and stores a hard state.
fn open_empty(disk: &CrashDisk, options: StorageOptions) -> ReplicaStorage {
    let mut storage = open(disk, options).expect("empty disk");
    storage
        .set_hard_state(HardState::default())
        .expect("hard state");
    storage
}

/// Opens storage on an empty disk and stores one synced entry.
fn open_with_one_entry(disk: &CrashDisk) -> ReplicaStorage {
    let mut storage = open_empty(disk, StorageOptions::default());
    storage.append([command(1, 1, b"kept")]);
    storage.sync().expect("sync");
    storage
}

#[test]
fn a_full_disk_keeps_synced_entries_and_accepts_new_ones_once_there_is_space() {
    let batch = [command(2, 1, &[1; 300]), command(3, 1, &[2; 300])];
    for space in 0..600 {
        let disk = CrashDisk::default();
        let mut storage = open_with_one_entry(&disk);
        disk.set_faults(Faults {
            space_left: Some(space),
            ..Faults::default()
        });
        storage.append(batch.clone());
        assert!(storage.sync().expect_err("no space").is_full());
        assert_eq!(storage.last_index(), 1);
        disk.set_faults(Faults::default());
        storage.append([command(2, 2, b"later")]);
        storage.sync().expect("space again");
        disk.crash(space);
        let recovered = open_default(disk);
        let expected = vec![command(1, 1, b"kept"), command(2, 2, b"later")];
        assert_eq!(recovered.entries(1, u64::MAX, usize::MAX), expected);
    }
}

#[test]
fn a_failed_sync_is_never_retried() {
    let disk = CrashDisk::default();
    let mut storage = open_with_one_entry(&disk);
    disk.set_faults(Faults {
        fail_sync: true,
        ..Faults::default()
    });
    storage.append([command(2, 1, b"lost")]);
    assert!(matches!(storage.sync(), Err(StorageError::Io { .. })));
    let syncs = disk.syncs();
    assert_eq!(storage.sync(), Err(StorageError::Failed));
    assert_eq!(
        storage.set_hard_state(HardState::default()),
        Err(StorageError::Failed)
    );
    assert_eq!(storage.truncate_from(1), Err(StorageError::Failed));
    assert_eq!(disk.syncs(), syncs);
}

#[test]
fn one_sync_makes_a_complete_batch_durable() {
    let disk = CrashDisk::default();
    let mut storage = open_with_one_entry(&disk);
    let before = disk.syncs();
    storage.append((2..=200).map(|index| command(index, 1, b"entry")));
    storage.sync().expect("sync");
    storage.sync().expect("nothing new");
    assert_eq!(disk.syncs(), before + 1);
}

#[test]
fn a_log_on_real_files_is_recovered_after_a_truncation_and_a_torn_write() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("shard").join("0");
    let mut storage = open_default(FileDisk::open(&path).expect("directory"));
    storage
        .set_hard_state(HardState::default())
        .expect("hard state");
    storage.append((1..=20).map(|index| command(index, 1, b"entry")));
    storage.sync().expect("sync");
    storage.truncate_from(11).expect("truncate");
    drop(storage);
    std::fs::write(path.join("left-over.tmp"), b"never renamed").expect("write");
    let disk = FileDisk::open(&path).expect("directory");
    let names = disk.list().expect("names");
    assert!(!path.join("left-over.tmp").exists());
    let log = names
        .iter()
        .find(|name| name.starts_with("log-"))
        .expect("log");
    let bytes = std::fs::read(path.join(log)).expect("read");
    std::fs::write(path.join(log), &bytes[..bytes.len() - 3]).expect("truncate");
    let storage = open_default(disk);
    assert_eq!(storage.last_index(), 9);
}

#[test]
fn compaction_removes_segments_and_retains_the_configured_number_of_entries() {
    let options = StorageOptions {
        segment_bytes: 500,
        retained_entries: 10,
        retained_bytes: usize::MAX,
    };
    let disk = CrashDisk::default();
    let mut storage = open_empty(&disk, options);
    for index in 1..=200 {
        storage.append([command(index, 1, &[1; 40])]);
        storage.sync().expect("sync");
        if index % 50 == 0 {
            let meta = snapshot_meta(index, 1);
            storage.save_snapshot(meta, Vec::new()).expect("saved");
        }
    }
    assert_eq!(storage.first_index(), 191);
    assert_eq!(storage.term_at(190), None);
    assert_eq!(storage.last_index(), 200);
    assert!(disk.names("log-").len() <= 4);
    assert!(storage.log_bytes() < 2000);
    assert_eq!(disk.names("snapshot-").len(), 1);
    let reopened = open(&disk, options).expect("opens");
    assert_eq!(reopened.entries(191, u64::MAX, usize::MAX).len(), 10);
}

#[test]
fn entries_beyond_the_byte_limit_are_not_retained_after_a_snapshot() {
    let options = StorageOptions {
        segment_bytes: 500,
        retained_entries: 10,
        retained_bytes: 250,
    };
    let mut storage = open_empty(&CrashDisk::default(), options);
    storage.append((1..=20).map(|index| command(index, 1, &[1; 94])));
    storage.sync().expect("sync");
    let meta = snapshot_meta(20, 1);
    storage.save_snapshot(meta, Vec::new()).expect("saved");
    assert_eq!(storage.first_index(), 19);
}

#[test]
fn a_write_to_a_full_device_is_reported_as_full() {
    let directory = tempfile::tempdir().expect("directory");
    let mut disk = FileDisk::open(directory.path()).expect("directory");
    std::os::unix::fs::symlink("/dev/full", directory.path().join("full")).expect("link");
    let result = disk.append("full", b"bytes");
    assert!(result.expect_err("no space").is_full());
}

quickcheck! {
    fn written_entries_are_read_back(bodies: Vec<(Vec<u8>, u8)>, segment_bytes: u16) -> bool {
        let options = StorageOptions {
            segment_bytes: u64::from(segment_bytes) + 1,
            retained_entries: 0,
            retained_bytes: usize::MAX,
        };
        let disk = CrashDisk::default();
        let mut storage = open_empty(&disk, options);
        let numbered = (1..).zip(&bodies);
        let entries: Vec<LogEntry> = numbered
            .map(|(index, (body, term))| command(index, u64::from(*term), body))
            .collect();
        for entry in &entries {
            storage.append([entry.clone()]);
            if entry.term % 3 == 0 {
                storage.sync().expect("sync");
            }
        }
        storage.sync().expect("sync");
        disk.crash(u64::from(segment_bytes));
        let recovered = open(&disk, options).expect("clean");
        recovered.entries(1, u64::MAX, usize::MAX) == entries
    }
}
