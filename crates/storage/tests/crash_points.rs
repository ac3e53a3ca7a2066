//! A power failure at every disk operation of a script that appends, truncates, and saves and
//! installs snapshots: afterwards all synced data is present, and no data that was never written.

mod support;

use millford_api::replication::{HardState, LogEntry};
use millford_storage::{ReplicaStorage, StorageError, StorageOptions};
use support::crash_disk::{CrashDisk, Faults};
use support::{command, open, snapshot_meta};

const OPTIONS: StorageOptions = StorageOptions {
    segment_bytes: 300,
    retained_entries: 3,
    retained_bytes: usize::MAX,
};
/// Crashes tried at each operation, each with other random losses.
const CRASH_SEEDS: u64 = 12;
/// Snapshot indices within the log, at its end and after it.
const INSTALL_INDICES: std::ops::RangeInclusive<u64> = 11..=21;

/// Data that must be durable after the operations so far, and data that an interrupted operation
/// may have made durable.
#[derive(Clone, Default)]
struct Model {
    hard_state: Option<HardState>,
    possible_hard_state: Option<HardState>,
    /// Entries that were synced, or that a durable snapshot covers.
    synced: Vec<LogEntry>,
    /// Other logs that may be found: those of interrupted operations since the last successful one.
    possible: Vec<Vec<LogEntry>>,
    snapshot_index: u64,
    possible_snapshot: Option<u64>,
    /// Log that must be found together with a snapshot whose installation was interrupted.
    installed: Option<Vec<LogEntry>>,
}

/// Operations on storage, with a model of its durable state.
struct Script {
    storage: ReplicaStorage,
    model: Model,
    /// The log in memory, from index 1 on.
    log: Vec<LogEntry>,
}

impl Script {
    fn append(&mut self, count: u64, term: u64) -> Result<(), StorageError> {
        for _ in 0..count {
            let index = self.log.len() as u64 + 1;
            let body = vec![u8::try_from(index).expect("small"); 90];
            self.log.push(command(index, term, &body));
            self.storage.append([self.log[self.log.len() - 1].clone()]);
        }
        self.model.possible.push(self.log.clone());
        self.storage.sync()?;
        self.model.synced.clone_from(&self.log);
        self.model.possible.clear();
        Ok(())
    }

    fn truncate(&mut self, index: u64) -> Result<(), StorageError> {
        self.model.possible.push(self.log.clone());
        self.log
            .truncate(usize::try_from(index - 1).expect("small"));
        // From here on the truncated entries may be found or not.
        self.model.synced.clone_from(&self.log);
        self.storage.truncate_from(index)?;
        self.model.possible.clear();
        Ok(())
    }

    fn vote(&mut self, term: u64, voted_for: u64) -> Result<(), StorageError> {
        let state = HardState {
            term,
            voted_for,
            node: 1,
        };
        self.model.possible_hard_state = Some(state);
        self.storage.set_hard_state(state)?;
        self.model.hard_state = Some(state);
        Ok(())
    }

    fn save(&mut self, index: u64) -> Result<(), StorageError> {
        let entry = &self.log[usize::try_from(index - 1).expect("small")];
        let meta = snapshot_meta(index, entry.term);
        self.model.possible_snapshot = Some(index);
        self.storage
            .save_snapshot(meta, index.to_le_bytes().to_vec())?;
        self.model.snapshot_index = index;
        Ok(())
    }

    /// Installs a snapshot whose last entry the log does not contain, or contains with another
    /// term.
    fn install(&mut self, index: u64, term: u64) -> Result<(), StorageError> {
        self.model.possible_snapshot = Some(index);
        let old = self.log.clone();
        self.log = (1..=index)
            .map(|index| command(index, term, b"covered"))
            .collect();
        self.model.possible.push(old);
        self.model.installed = Some(self.log.clone());
        self.storage
            .install_snapshot(snapshot_meta(index, term), index.to_le_bytes().to_vec())?;
        self.model.snapshot_index = index;
        self.model.synced.clone_from(&self.log);
        self.model.possible.clear();
        self.model.installed = None;
        Ok(())
    }

    fn run(&mut self, install_index: u64) -> Result<(), StorageError> {
        self.vote(1, 0)?;
        self.append(3, 1)?;
        self.append(2, 1)?;
        self.truncate(4)?;
        self.vote(2, 3)?;
        self.append(4, 2)?;
        self.save(4)?;
        self.append(5, 2)?;
        self.truncate(8)?;
        self.append(6, 3)?;
        self.save(10)?;
        for _ in 0..6 {
            self.append(1, 3)?;
        }
        // For any index, recovery must not mistake a segment of the replaced log for entries that
        // follow the snapshot.
        self.install(install_index, 5)?;
        self.append(3, 5)?;
        self.install(30, 6)?;
        self.vote(7, 2)?;
        self.append(4, 7)?;
        self.save(33)?;
        self.append(2, 7)
    }
}

fn run_until_failure(
    disk: &CrashDisk,
    faults: Faults,
    install_index: u64,
) -> (Model, Result<(), StorageError>) {
    let storage = open(disk, OPTIONS).expect("empty disk");
    disk.set_faults(faults);
    let mut script = Script {
        storage,
        model: Model::default(),
        log: Vec::new(),
    };
    let result = script.run(install_index);
    (script.model, result)
}

/// Opens storage after a crash and compares its content with the model.
fn check(disk: &CrashDisk, model: &Model) -> Result<(), String> {
    let storage = open(disk, OPTIONS).map_err(|error| format!("does not open: {error}"))?;
    let hard_state = storage.hard_state();
    if hard_state != model.hard_state && hard_state != model.possible_hard_state {
        return Err(format!("hard state {hard_state:?}"));
    }
    let snapshot_index = storage.snapshot().map_or(0, |snapshot| snapshot.meta.index);
    let is_new_snapshot = Some(snapshot_index) == model.possible_snapshot;
    if snapshot_index != model.snapshot_index && !is_new_snapshot {
        return Err(format!("snapshot {snapshot_index}"));
    }
    let data = storage.snapshot().map(|snapshot| snapshot.data.to_vec());
    if data.is_some_and(|data| data != snapshot_index.to_le_bytes()) {
        return Err("snapshot bytes".to_owned());
    }
    check_log(&storage, model, snapshot_index)
}

fn check_log(storage: &ReplicaStorage, model: &Model, snapshot: u64) -> Result<(), String> {
    if storage.first_index() > snapshot + 1 {
        return Err(format!("a gap before {}", storage.first_index()));
    }
    let installed = model.installed.as_ref();
    if let Some(installed) = installed.filter(|_| snapshot > model.snapshot_index) {
        if contains_stored_entries(storage, installed, snapshot) {
            return Ok(());
        }
        return Err("entries of the replaced log after the snapshot".to_owned());
    }
    let synced_last = model.synced.last().map_or(0, |entry| entry.index);
    if storage.last_index() < synced_last && snapshot < synced_last {
        return Err(format!(
            "ends at {}, synced {synced_last}",
            storage.last_index()
        ));
    }
    let logs = model.possible.iter().chain([&model.synced]);
    let is_possible = logs
        .clone()
        .any(|log| contains_stored_entries(storage, log, snapshot));
    if !is_possible {
        return Err("entries that were never written in this order".to_owned());
    }
    Ok(())
}

/// Whether `log` contains every stored entry after the snapshot.
fn contains_stored_entries(storage: &ReplicaStorage, log: &[LogEntry], snapshot: u64) -> bool {
    let from = (snapshot + 1).max(storage.first_index());
    let mut stored = storage.entries(from, u64::MAX, usize::MAX).into_iter();
    stored.all(|entry| log.contains(&entry))
}

#[test]
fn a_crash_at_any_operation_loses_no_synced_data() {
    for install_index in INSTALL_INDICES {
        crash_at_every_operation(install_index);
    }
}

fn crash_at_every_operation(install_index: u64) {
    let disk = CrashDisk::default();
    let (_, result) = run_until_failure(&disk, Faults::default(), install_index);
    result.expect("the script runs");
    let operations = disk.operations();
    assert!(operations > 30);
    for successful_operations in 0..=operations {
        for seed in 0..CRASH_SEEDS {
            let disk = CrashDisk::default();
            let faults = Faults {
                operations_left: Some(successful_operations),
                ..Faults::default()
            };
            let (model, _) = run_until_failure(&disk, faults, install_index);
            disk.crash(seed);
            let result = check(&disk, &model);
            assert_eq!(
                result,
                Ok(()),
                "install {install_index} operation {successful_operations} seed {seed}"
            );
        }
    }
}

#[test]
fn the_check_detects_a_disk_that_ignores_syncs() {
    let detected = (0..CRASH_SEEDS).filter(|seed| {
        let disk = CrashDisk::default();
        let faults = Faults {
            ignore_syncs: true,
            ..Faults::default()
        };
        let (model, result) = run_until_failure(&disk, faults, *INSTALL_INDICES.start());
        result.expect("the disk reports success");
        disk.crash(*seed);
        check(&disk, &model).is_err()
    });
    assert_eq!(detected.count() as u64, CRASH_SEEDS);
}

#[test]
fn entries_read_after_a_process_failure_survive_a_power_failure() {
    let disk = CrashDisk::default();
    let mut storage = open(&disk, OPTIONS).expect("empty disk");
    storage
        .set_hard_state(HardState::default())
        .expect("hard state");
    storage.append([command(1, 1, b"one")]);
    disk.set_faults(Faults {
        fail_sync: true,
        ..Faults::default()
    });
    storage.sync().expect_err("injected");
    drop(storage);
    // The unsynced bytes are still visible to the next process, which treats them as synced.
    let storage = open(&disk, OPTIONS).expect("opens");
    assert_eq!(storage.synced_index(), 1);
    for seed in 0..CRASH_SEEDS {
        let copy = disk.copy_with_unsynced();
        copy.crash(seed);
        let after = open(&copy, OPTIONS).expect("opens");
        assert_eq!(after.last_index(), 1, "seed {seed}");
    }
}
