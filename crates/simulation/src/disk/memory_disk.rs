//! Implementation of the storage interface on a simulated disk.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_storage::{Disk, StorageError};

use crate::disk::condition::DiskCondition;
use crate::disk::disk_image::DiskImage;

/// A folder of a [`DiskImage`]. The disk image outlives the process that uses the folder.
pub struct MemoryDisk {
    disk_image: Arc<Mutex<DiskImage>>,
    prefix: String,
}

impl MemoryDisk {
    /// Opens the folder `folder` of the disk image.
    #[must_use]
    pub fn new(disk_image: Arc<Mutex<DiskImage>>, folder: &str) -> Self {
        Self {
            disk_image,
            prefix: format!("{folder}/"),
        }
    }

    fn disk_image(&self) -> MutexGuard<'_, DiskImage> {
        self.disk_image
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn path(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }
}

impl Disk for MemoryDisk {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        Ok(self.disk_image().names(&self.prefix))
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        Ok(self.disk_image().read(&self.path(name)))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let path = self.path(name);
        let mut disk_image = self.disk_image();
        let written = match disk_image.condition() {
            // A full disk may still write a part of the bytes.
            DiskCondition::Full => &bytes[..bytes.len() / 2],
            _ => bytes,
        };
        disk_image.file(&path).append(written);
        require_space(&disk_image, name)
    }

    fn sync(&mut self, name: &str) -> Result<(), StorageError> {
        let path = self.path(name);
        let mut disk_image = self.disk_image();
        require_sync(&disk_image, name)?;
        disk_image.sync(&path);
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let path = self.path(name);
        let mut disk_image = self.disk_image();
        require_space(&disk_image, name)?;
        require_sync(&disk_image, name)?;
        disk_image.file(&path).write(bytes);
        disk_image.sync(&path);
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<(), StorageError> {
        let path = self.path(name);
        let length = usize::try_from(len).unwrap_or(usize::MAX);
        self.disk_image().file(&path).truncate(length);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        let path = self.path(name);
        let mut disk_image = self.disk_image();
        require_sync(&disk_image, name)?;
        disk_image.file(&path).remove();
        disk_image.sync(&path);
        Ok(())
    }
}

fn require_space(disk_image: &DiskImage, name: &str) -> Result<(), StorageError> {
    if disk_image.condition() != DiskCondition::Full {
        return Ok(());
    }
    Err(StorageError::Full {
        name: name.to_owned(),
    })
}

fn require_sync(disk_image: &DiskImage, name: &str) -> Result<(), StorageError> {
    if disk_image.condition() != DiskCondition::FailingSync {
        return Ok(());
    }
    Err(StorageError::Io {
        operation: "sync",
        name: name.to_owned(),
        source: std::io::Error::other("simulated failure").into(),
    })
}
