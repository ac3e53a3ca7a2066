//! Errors of the storage.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::sync::Arc;

use thiserror::Error;

/// An error of the operating system. It is shared, so that a failed storage can report it again.
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

/// Errors of the same kind are equal.
impl PartialEq for DiskError {
    fn eq(&self, other: &Self) -> bool {
        self.0.kind() == other.0.kind()
    }
}

impl Eq for DiskError {}

/// Why a storage operation failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StorageError {
    /// The disk reported an error.
    #[error("{operation} of {name} failed: {source}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// File name.
        name: String,
        /// The cause.
        source: DiskError,
    },
    /// The disk is full. Nothing that was synced before is lost, and the operation may be tried
    /// again once there is space.
    #[error("no space left for {name}")]
    Full {
        /// File name.
        name: String,
    },
    /// Data that was synced is damaged. The replica must not run on it: its owner clears the
    /// directory and starts a new replica under a new identity.
    #[error("{name} is corrupt at byte {offset}: {reason}")]
    Corrupt {
        /// File name.
        name: String,
        /// Offset in the file, in bytes.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// An earlier write or sync failed, so that what the disk holds is unknown. Nothing is
    /// retried: a second fsync may report success for pages that the first one dropped.
    #[error("the storage failed earlier and stays closed")]
    Failed,
}

impl StorageError {
    /// Whether the replica may go on after this error.
    #[must_use]
    pub fn is_full(&self) -> bool {
        matches!(self, StorageError::Full { .. })
    }

    /// A [`StorageError::Corrupt`].
    #[must_use]
    pub fn corrupt(name: &str, offset: usize, reason: &str) -> Self {
        StorageError::Corrupt {
            name: name.to_owned(),
            offset: offset as u64,
            reason: reason.to_owned(),
        }
    }
}
