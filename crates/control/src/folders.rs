//! Folders of the node's data.

use millford_storage::{Disk, StorageError};

/// Highest number of a shard that a node may find on its disk.
pub const HIGHEST_SHARD: u32 = 64;

/// Removes every file of a folder.
///
/// # Errors
/// The folder cannot be listed, or a file cannot be removed.
pub fn clear(disk: &mut dyn Disk) -> Result<(), StorageError> {
    for name in disk.list()? {
        disk.remove(&name)?;
    }
    Ok(())
}
