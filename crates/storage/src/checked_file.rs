//! Small files that are replaced whole: the hard state and the snapshots.

use crate::{Disk, StorageError};

/// First bytes of every checked file; the last one is the version of the format.
const MAGIC: [u8; 8] = *b"millfrd\x01";

/// Magic, then the checksum of the body.
const HEADER_BYTES: usize = 12;

/// Writes `body` with a checksum; durable on return.
pub fn replace(disk: &mut dyn Disk, name: &str, body: &[u8]) -> Result<(), StorageError> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&crc32c::crc32c(body).to_le_bytes());
    bytes.extend_from_slice(body);
    disk.replace(name, &bytes)
}

/// The body of a checked file; `None` when there is no such file.
///
/// The file was replaced atomically and synced, so any fault in it is damage.
pub fn read(disk: &dyn Disk, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
    let Some(bytes) = disk.read(name)? else {
        return Ok(None);
    };
    if bytes.len() < HEADER_BYTES || bytes[..8] != MAGIC {
        return Err(StorageError::corrupt(name, 0, "the header is damaged"));
    }
    let body = &bytes[HEADER_BYTES..];
    if crc32c::crc32c(body).to_le_bytes() != bytes[8..HEADER_BYTES] {
        return Err(StorageError::corrupt(name, 8, "the checksum is wrong"));
    }
    Ok(Some(body.to_vec()))
}
