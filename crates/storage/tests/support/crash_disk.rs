//! An in-memory disk with injected faults. Handles share the same files, so that a test can crash
//! the disk of an open storage and open storage on it again.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use millford_storage::{Disk, StorageError};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::file_state::FileState;

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Operations that still succeed before all others fail; `None` for no failure.
    pub(crate) operations_left: Option<u64>,
    /// Bytes that can still be written; `None` for no limit.
    pub(crate) space_left: Option<u64>,
    /// Whether the next sync fails.
    pub(crate) fail_sync: bool,
    /// Whether syncs report success without making anything durable.
    pub(crate) ignore_syncs: bool,
    /// Whether replacing an existing file reports success without making the new bytes durable.
    pub(crate) volatile_replaces: bool,
}

#[derive(Debug, Default)]
struct Inner {
    files: BTreeMap<String, FileState>,
    faults: Faults,
    operations: u64,
    syncs: u64,
}

/// Shared handle of a disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashDisk {
    inner: Arc<Mutex<Inner>>,
}

impl CrashDisk {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no test thread panics while it holds the lock")
    }

    /// Replaces the faults to inject.
    pub(crate) fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Number of attempted write operations, failed ones included.
    pub(crate) fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// Number of syncs that reported success.
    pub(crate) fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    /// Loses unsynced bytes as a power failure does, and clears all faults except `ignore_syncs`
    /// and `volatile_replaces`.
    pub(crate) fn crash(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut inner = self.lock();
        let files = std::mem::take(&mut inner.files);
        for (name, file) in files {
            if let Some(bytes) = file.after_crash(&mut random) {
                inner.insert_durable(&name, bytes);
            }
        }
        inner.faults = Faults {
            ignore_syncs: inner.faults.ignore_syncs,
            volatile_replaces: inner.faults.volatile_replaces,
            ..Faults::default()
        };
    }

    /// Removes all files and clears faults and counters.
    pub(crate) fn wipe(&self) {
        *self.lock() = Inner::default();
    }

    /// Current bytes of a file, which must exist.
    pub(crate) fn bytes(&self, name: &str) -> Vec<u8> {
        self.lock().files[name].current.clone()
    }

    /// Replaces the durable bytes of a file, to simulate corruption.
    pub(crate) fn set_bytes(&self, name: &str, bytes: Vec<u8>) {
        self.lock().insert_durable(name, bytes);
    }

    /// Names of the files that begin with a prefix.
    pub(crate) fn names(&self, prefix: &str) -> Vec<String> {
        let inner = self.lock();
        let names = inner.files.keys().filter(|name| name.starts_with(prefix));
        names.cloned().collect()
    }

    /// Creates an independent disk with the same current files, all of them durable.
    pub(crate) fn copy(&self) -> CrashDisk {
        let copy = CrashDisk::default();
        for (name, file) in &self.lock().files {
            copy.set_bytes(name, file.current.clone());
        }
        copy
    }

    /// Creates an independent disk with the same files, whose unsynced bytes remain unsynced.
    pub(crate) fn copy_with_unsynced(&self) -> CrashDisk {
        let copy = CrashDisk::default();
        copy.lock().files.clone_from(&self.lock().files);
        copy
    }
}

impl Inner {
    fn insert_durable(&mut self, name: &str, bytes: Vec<u8>) {
        let file = FileState {
            durable: Some(bytes.clone()),
            current: bytes,
        };
        self.files.insert(name.to_owned(), file);
    }

    /// Counts an operation and fails if no operations are left.
    fn count_operation(&mut self, operation: &'static str, name: &str) -> Result<(), StorageError> {
        self.operations += 1;
        if let Some(left) = &mut self.faults.operations_left {
            if *left == 0 {
                return Err(io_error(operation, name));
            }
            *left -= 1;
        }
        Ok(())
    }

    /// Reserves space for `bytes` and returns the number of bytes that fit.
    fn take_space(&mut self, bytes: usize) -> usize {
        let Some(left) = &mut self.faults.space_left else {
            return bytes;
        };
        let fits = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes);
        *left -= fits as u64;
        fits
    }
}

impl Disk for CrashDisk {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        Ok(self.lock().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        let inner = self.lock();
        Ok(inner.files.get(name).map(|file| file.current.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let mut inner = self.lock();
        let result = inner.count_operation("append", name);
        let fits = inner.take_space(bytes.len());
        // A failed append writes its bytes as well, because a power failure may happen in the
        // middle of a write. The crash decides at random how much of them remains.
        let file = inner.files.entry(name.to_owned()).or_default();
        file.current.extend_from_slice(&bytes[..fits]);
        result?;
        if fits < bytes.len() {
            return Err(full(name));
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<(), StorageError> {
        let mut inner = self.lock();
        inner.count_operation("sync", name)?;
        if std::mem::take(&mut inner.faults.fail_sync) {
            return Err(io_error("sync", name));
        }
        inner.syncs += 1;
        if inner.faults.ignore_syncs {
            return Ok(());
        }
        let file = inner.files.entry(name.to_owned()).or_default();
        file.durable = Some(file.current.clone());
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let mut inner = self.lock();
        inner.count_operation("replace", name)?;
        if inner.take_space(bytes.len()) < bytes.len() {
            return Err(full(name));
        }
        let is_volatile = inner.faults.volatile_replaces;
        match inner.files.get_mut(name).filter(|_| is_volatile) {
            Some(file) => file.current = bytes.to_vec(),
            None => inner.insert_durable(name, bytes.to_vec()),
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<(), StorageError> {
        let mut inner = self.lock();
        inner.count_operation("truncate", name)?;
        let file = inner.files.entry(name.to_owned()).or_default();
        file.current
            .truncate(usize::try_from(len).unwrap_or(usize::MAX));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        let mut inner = self.lock();
        inner.count_operation("remove", name)?;
        inner.files.remove(name);
        Ok(())
    }
}

fn io_error(operation: &'static str, name: &str) -> StorageError {
    StorageError::Io {
        operation,
        name: name.to_owned(),
        source: std::io::Error::other("injected").into(),
    }
}

fn full(name: &str) -> StorageError {
    StorageError::Full {
        name: name.to_owned(),
    }
}
