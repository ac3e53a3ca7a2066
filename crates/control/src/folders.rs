//! Erasure of the node's data folders.

use millford_storage::{Disk, StorageError};

/// Highest shard number that may exist on a node's disk.
pub const HIGHEST_SHARD: u32 = 64;

/// Removes every file in a folder.
///
/// # Errors
/// The folder cannot be listed, or a file cannot be removed.
pub fn clear(disk: &mut dyn Disk) -> Result<(), StorageError> {
    for name in disk.list()? {
        disk.remove(&name)?;
    }
    Ok(())
}
