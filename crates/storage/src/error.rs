//! Errors of the storage.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::sync::Arc;

use thiserror::Error;

/// An I/O error, reference-counted so that it can be cloned and reported again.
#[derive(Clone, Debug)]
pub struct DiskError(Arc<io::Error>);

impl From<io::Error> for DiskError {
    fn from(error: io::Error) -> Self {
        Self(Arc::new(error))
    }
}

impl Display for DiskError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl std::error::Error for DiskError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.0.source()
    }
}

/// Compares errors by their kind.
impl PartialEq for DiskError {
    fn eq(&self, other: &Self) -> bool {
        self.0.kind() == other.0.kind()
    }
}

impl Eq for DiskError {}

/// Reason why a storage operation failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StorageError {
    /// The operating system reported an error.
    #[error("{operation} of {name} failed: {source}")]
    Io {
        /// The operation that failed, as a verb.
        operation: &'static str,
        /// Name of the file, or path of the directory.
        name: String,
        /// Error of the operating system.
        source: DiskError,
    },
    /// The disk is full. No synced data is lost, and the operation may be retried once there is
    /// space.
    #[error("no space left on the disk for {name}")]
    Full {
        /// Name of the file, or path of the directory.
        name: String,
    },
    /// Synced data is corrupt or missing. The replica must not run on it: its owner clears the
    /// directory and starts a new replica under a new identity.
    #[error("{name} is corrupt at byte {offset}: {reason}")]
    Corrupt {
        /// Name of the file.
        name: String,
        /// Offset of the fault in the file, in bytes.
        offset: u64,
        /// Description of the fault.
        reason: String,
    },
    /// An earlier write or sync failed, so the content of the disk is unknown. Nothing is retried:
    /// a second fsync may report success for pages that the first one dropped.
    #[error("storage is unusable after an earlier error")]
    Failed,
}

impl StorageError {
    /// Whether the disk was full. This is the only error after which the storage remains usable.
    #[must_use]
    pub fn is_full(&self) -> bool {
        matches!(self, StorageError::Full { .. })
    }

    /// Creates a [`StorageError::Corrupt`].
    #[must_use]
    pub fn corrupt(name: &str, offset: usize, reason: &str) -> Self {
        StorageError::Corrupt {
            name: name.to_owned(),
            offset: offset as u64,
            reason: reason.to_owned(),
        }
    }
}
