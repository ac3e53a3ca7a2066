//! Interface between the storage and the file system.

use crate::StorageError;

/// A flat directory of files.
///
/// After a crash, appended bytes that were not synced may be missing from some point on, and any
/// 512-byte sector of them may read as zeros. Synced bytes must not change; if they do, the storage
/// reports [`StorageError::Corrupt`].
pub trait Disk: Send {
    /// Returns the names of all files, in any order.
    ///
    /// # Errors
    /// [`StorageError::Io`] if the directory cannot be read.
    fn list(&self) -> Result<Vec<String>, StorageError>;

    /// Returns the content of a file, or `None` if the file does not exist.
    ///
    /// # Errors
    /// [`StorageError::Io`] if the file cannot be read.
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError>;

    /// Appends to a file, which is created if it does not exist. Durable only after [`Disk::sync`].
    ///
    /// # Errors
    /// [`StorageError::Full`] or [`StorageError::Io`]; any part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Makes all appends to and truncations of a file durable, and its directory entry.
    ///
    /// # Errors
    /// [`StorageError::Io`]; any part of the unsynced bytes may be durable or lost.
    fn sync(&mut self, name: &str) -> Result<(), StorageError>;

    /// Replaces or creates a file atomically; durable on return. After a crash the file contains
    /// either the old bytes or the new ones, never a mixture.
    ///
    /// # Errors
    /// [`StorageError::Full`], after which the file still has its old content, or
    /// [`StorageError::Io`].
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Truncates a file to `len` bytes. Durable only after [`Disk::sync`].
    ///
    /// # Errors
    /// [`StorageError::Io`] if the file cannot be opened or truncated.
    fn truncate(&mut self, name: &str, len: u64) -> Result<(), StorageError>;

    /// Removes a file; durable on return. Succeeds if the file does not exist.
    ///
    /// # Errors
    /// [`StorageError::Io`] if the file cannot be removed, or its removal cannot be synced.
    fn remove(&mut self, name: &str) -> Result<(), StorageError>;
}
