//! The interface between the storage and a disk.

use crate::StorageError;

/// A flat directory of files.
///
/// After a crash, the bytes that were appended and not synced may be missing from some point on,
/// and any 512-byte sector among them may read as zeros. Bytes that were synced stay as they are;
/// when they do not, the storage reports [`StorageError::Corrupt`].
pub trait Disk: Send {
    /// Names of all files, in any order.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn list(&self) -> Result<Vec<String>, StorageError>;

    /// The content of a file, or `None` when there is none of this name.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError>;

    /// Appends to a file and creates it when absent. Not durable before [`Disk::sync`].
    ///
    /// # Errors
    /// [`StorageError::Full`] or [`StorageError::Io`]; any part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Makes everything appended to the file durable, and its directory entry.
    ///
    /// # Errors
    /// [`StorageError::Io`]; which of the bytes are durable is unknown.
    fn sync(&mut self, name: &str) -> Result<(), StorageError>;

    /// Replaces or creates a file atomically; durable on return. After a crash the file holds the
    /// old bytes or the new ones, never a mixture.
    ///
    /// # Errors
    /// [`StorageError::Full`], with the old bytes still in place, or [`StorageError::Io`].
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Truncates a file to `len` bytes. Durable only after [`Disk::sync`].
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn truncate(&mut self, name: &str, len: u64) -> Result<(), StorageError>;

    /// Removes a file; durable on return. An absent file is no error.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn remove(&mut self, name: &str) -> Result<(), StorageError>;
}
