//! The storage's view of a simulated disk.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_storage::{Disk, StorageError};

use crate::disk::condition::DiskCondition;
use crate::disk::platter::Platter;

/// One folder of a [`Platter`]; the platter outlives the process that holds this.
pub struct MemoryDisk {
    platter: Arc<Mutex<Platter>>,
    prefix: String,
}

impl MemoryDisk {
    /// The folder `folder` of the platter.
    #[must_use]
    pub fn new(platter: Arc<Mutex<Platter>>, folder: &str) -> Self {
        Self {
            platter,
            prefix: format!("{folder}/"),
        }
    }

    fn platter(&self) -> MutexGuard<'_, Platter> {
        self.platter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn path(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }
}

impl Disk for MemoryDisk {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        Ok(self.platter().names(&self.prefix))
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        Ok(self.platter().read(&self.path(name)))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let path = self.path(name);
        let mut platter = self.platter();
        let written = match platter.condition() {
            // A full disk may have taken a part.
            DiskCondition::Full => &bytes[..bytes.len() / 2],
            _ => bytes,
        };
        platter.file(&path).append(written);
        require_space(&platter, name)
    }

    fn sync(&mut self, name: &str) -> Result<(), StorageError> {
        let path = self.path(name);
        let mut platter = self.platter();
        require_sync(&platter, name)?;
        platter.sync(&path);
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let path = self.path(name);
        let mut platter = self.platter();
        require_space(&platter, name)?;
        require_sync(&platter, name)?;
        platter.file(&path).write(bytes);
        platter.sync(&path);
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<(), StorageError> {
        let path = self.path(name);
        let length = usize::try_from(len).unwrap_or(usize::MAX);
        self.platter().file(&path).truncate(length);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        let path = self.path(name);
        let mut platter = self.platter();
        require_sync(&platter, name)?;
        platter.file(&path).remove();
        platter.sync(&path);
        Ok(())
    }
}

fn require_space(platter: &Platter, name: &str) -> Result<(), StorageError> {
    if platter.condition() != DiskCondition::Full {
        return Ok(());
    }
    Err(StorageError::Full {
        name: name.to_owned(),
    })
}

fn require_sync(platter: &Platter, name: &str) -> Result<(), StorageError> {
    if platter.condition() != DiskCondition::FailingSync {
        return Ok(());
    }
    Err(StorageError::Io {
        operation: "sync",
        name: name.to_owned(),
        source: std::io::Error::other("simulated failure").into(),
    })
}
