//! Files that are replaced as a whole and have a checksum: the hard state and the snapshots.

use crate::{Disk, StorageError};

/// First bytes of every checked file; the last one is the version of the file format.
const MAGIC: [u8; 8] = *b"millfrd\x01";

/// Offset of the checksum of the body (CRC-32C, four bytes, little endian).
const CHECKSUM_OFFSET: usize = MAGIC.len();

/// Bytes of the magic and the checksum, after which the body begins.
const HEADER_BYTES: usize = CHECKSUM_OFFSET + 4;

/// Replaces a file by `body` with a header; durable on return.
///
/// # Errors
/// Any error of the disk.
pub(crate) fn replace(disk: &mut dyn Disk, name: &str, body: &[u8]) -> Result<(), StorageError> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&crc32c::crc32c(body).to_le_bytes());
    bytes.extend_from_slice(body);
    disk.replace(name, &bytes)
}

/// Returns the body of a checked file, or `None` if the file does not exist.
///
/// # Errors
/// [`StorageError::Corrupt`] for any fault in the file. The file was replaced atomically and
/// synced, so a crash cannot have caused a fault. Any error of the disk.
pub(crate) fn read(disk: &dyn Disk, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
    let Some(bytes) = disk.read(name)? else {
        return Ok(None);
    };
    if bytes.len() < HEADER_BYTES || bytes[..CHECKSUM_OFFSET] != MAGIC {
        return Err(StorageError::corrupt(name, 0, "the file header is invalid"));
    }
    let body = &bytes[HEADER_BYTES..];
    if crc32c::crc32c(body).to_le_bytes() != bytes[CHECKSUM_OFFSET..HEADER_BYTES] {
        return Err(StorageError::corrupt(
            name,
            CHECKSUM_OFFSET,
            "the checksum does not match",
        ));
    }
    Ok(Some(body.to_vec()))
}
