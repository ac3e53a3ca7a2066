//! A disk in memory, whose files are kept when a folder is opened again.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use millford_storage::{Disk, StorageError};

type Files = BTreeMap<String, Vec<u8>>;

/// The disk of one machine: folders with files. Clones share the files.
#[derive(Clone, Default)]
pub(crate) struct MemoryMachine {
    folders: Arc<Mutex<BTreeMap<String, Files>>>,
}

impl MemoryMachine {
    /// Opens the folder with this name.
    pub(crate) fn folder(&self, name: &str) -> Box<dyn Disk> {
        Box::new(MemoryFolder {
            machine: self.clone(),
            name: name.to_owned(),
        })
    }

    /// Removes everything, like the loss of a disk.
    pub(crate) fn wipe(&self) {
        self.folders.lock().unwrap().clear();
    }

    /// Flips a bit at one third of the largest file in a folder.
    pub(crate) fn damage(&self, folder: &str) {
        let mut folders = self.folders.lock().unwrap();
        let files = folders.get_mut(folder).expect("the folder exists");
        let largest = files.values_mut().max_by_key(|bytes| bytes.len());
        let bytes = largest.expect("the folder has a file");
        let position = bytes.len() / 3;
        bytes[position] ^= 0x10;
    }
}

struct MemoryFolder {
    machine: MemoryMachine,
    name: String,
}

impl MemoryFolder {
    fn with<T>(&self, action: impl FnOnce(&mut Files) -> T) -> T {
        let mut folders = self.machine.folders.lock().unwrap();
        action(folders.entry(self.name.clone()).or_default())
    }
}

impl Disk for MemoryFolder {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        Ok(self.with(|files| files.keys().cloned().collect()))
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        Ok(self.with(|files| files.get(name).cloned()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        self.with(|files| files.entry(name.to_owned()).or_default().extend(bytes));
        Ok(())
    }

    fn sync(&mut self, _name: &str) -> Result<(), StorageError> {
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        self.with(|files| files.insert(name.to_owned(), bytes.to_vec()));
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<(), StorageError> {
        let length = usize::try_from(len).unwrap();
        self.with(|files| files.entry(name.to_owned()).or_default().truncate(length));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        self.with(|files| files.remove(name));
        Ok(())
    }
}
