//! Compatibility of the file format: the current code opens the replica folder that commit b3d3e00
//! wrote, and writes identical files.
//!
//! `data/replica` contains the files that [`write`] created on an empty disk with the code of
//! b3d3e00. They must not be regenerated, because a replica must be able to start on the files of
//! an earlier release.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use millford_api::replication::{Empty, HardState, LogEntry, VoterSet, log_entry::Payload};
use millford_storage::{FileDisk, ReplicaStorage, SnapshotMeta, StorageOptions};

/// Small limits, so that few entries fill several segments.
const OPTIONS: StorageOptions = StorageOptions {
    segment_bytes: 160,
    retained_entries: 3,
    retained_bytes: 1 << 20,
};

const HARD_STATE: HardState = HardState {
    term: 4,
    voted_for: 0x1234_5678_9abc_def0,
    node: 0x0fed_cba9_8765_4321,
};

const SNAPSHOT_DATA: &[u8] = b"state of the machine\x00\xff";

fn committed() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/replica")
}

fn open(folder: &Path) -> ReplicaStorage {
    let disk = FileDisk::open(folder).expect("the folder opens");
    ReplicaStorage::open(Box::new(disk), OPTIONS).expect("the storage opens")
}

fn voters() -> VoterSet {
    VoterSet {
        voters: vec![1, HARD_STATE.node],
        learners: vec![3],
    }
}

/// Entries of every kind in three terms, including a long run of zeros.
fn entries() -> Vec<LogEntry> {
    let command = |bytes: &[u8]| Payload::Command(bytes.to_vec());
    let payloads = [
        (1, Payload::Empty(Empty {})),
        (1, Payload::Voters(voters())),
        (1, command(b"first")),
        (1, command(&[0; 100])),
        (2, Payload::Empty(Empty {})),
        (2, command(b"")),
        (2, command(&[0xff; 60])),
        (4, Payload::Empty(Empty {})),
        (4, command(b"dropped")),
        (4, command(b"last")),
    ];
    let numbered = (1..).zip(payloads);
    numbered
        .map(|(index, (term, payload))| LogEntry {
            index,
            term,
            payload: Some(payload),
        })
        .collect()
}

fn snapshot_meta() -> SnapshotMeta {
    SnapshotMeta {
        index: 7,
        term: 2,
        voters: voters(),
    }
}

/// Stores a hard state and several segments, truncates the log, appends to it, and saves a
/// snapshot, which compacts the log.
fn write(folder: &Path) {
    let mut storage = open(folder);
    let first = HardState {
        term: 1,
        ..HARD_STATE
    };
    storage.set_hard_state(first).expect("a hard state");
    for batch in entries()[..9].chunks(2) {
        storage.append(batch.to_vec());
        storage.sync().expect("the log is synced");
    }
    storage.set_hard_state(HARD_STATE).expect("a hard state");
    storage.truncate_from(9).expect("the log is truncated");
    let mut last = entries().remove(9);
    last.index = 9;
    storage.append([last]);
    storage.sync().expect("the log is synced");
    storage
        .save_snapshot(snapshot_meta(), SNAPSHOT_DATA.to_vec())
        .expect("a snapshot is saved");
}

fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let listed = std::fs::read_dir(folder).expect("the folder");
    listed
        .map(|file| {
            let file = file.expect("a file");
            let name = file.file_name().into_string().expect("a plain name");
            (name, std::fs::read(file.path()).expect("it is read"))
        })
        .collect()
}

#[test]
fn the_same_calls_write_the_committed_files() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path());
    let written = files(folder.path());
    if std::env::var_os("MILLFORD_WRITE_COMMITTED").is_some_and(|value| value == "1") {
        std::fs::create_dir_all(committed()).expect("a folder is made");
        for (name, bytes) in &written {
            std::fs::write(committed().join(name), bytes).expect("a file is written");
        }
    }
    let committed = files(&committed());
    let names = |files: &BTreeMap<String, Vec<u8>>| files.keys().cloned().collect::<Vec<_>>();
    assert_eq!(names(&written), names(&committed));
    for (name, bytes) in committed {
        assert_eq!(written[&name], bytes, "{name}");
    }
}

#[test]
fn the_committed_folder_opens_with_its_vote_snapshot_and_entries() {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, bytes) in files(&committed()) {
        std::fs::write(folder.path().join(name), bytes).expect("a file is copied");
    }
    let storage = open(folder.path());
    assert_eq!(storage.hard_state(), Some(HARD_STATE));
    let snapshot = storage.snapshot().expect("a snapshot");
    assert_eq!(snapshot.meta, snapshot_meta());
    assert_eq!(snapshot.data.as_ref(), SNAPSHOT_DATA);
    assert_eq!(storage.last_index(), 9);
    assert!(storage.first_index() > 1, "the log was compacted");
    assert!(
        storage.first_index() <= 5,
        "entries covered by the snapshot are retained"
    );
    let read = storage.entries(storage.first_index(), 9, usize::MAX);
    let mut expected = entries().split_off(usize::try_from(storage.first_index()).unwrap() - 1);
    expected.remove(expected.len() - 2);
    expected.last_mut().expect("an entry").index = 9;
    assert_eq!(read, expected);
    assert_eq!(storage.term_at(9), Some(4));
}
