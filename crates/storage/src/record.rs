//! Log records: one entry each, with separate checksums for the header and the body.
//!
//! Layout before whitening (see [`crate::whitening`]), little endian, with sizes in bytes: body
//! length (4), batch start (4), checksum of the body (4), checksum of the header (4), body, zeros
//! up to a multiple of eight bytes. Checksums are CRC-32C. The batch start is the offset in the
//! segment up to which all bytes had been synced when the record was written.

use millford_api::replication::LogEntry;
use prost::Message;

use crate::whitening::{self, WORD_BYTES};

/// Bytes of a record's header.
pub(crate) const HEADER_BYTES: usize = 16;

/// Offset of the header's checksum, which covers the bytes before it.
const HEADER_CHECKSUM_OFFSET: usize = 12;

/// Header of a record, after its checksum was verified.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordHeader {
    /// Bytes of the body, without padding.
    pub(crate) body_bytes: usize,
    /// Offset in the segment up to which all bytes had been synced when the record was written.
    pub(crate) batch_start: usize,
    body_checksum: u32,
}

/// Result of reading a record at an offset of a segment.
#[derive(Debug)]
pub(crate) enum RecordAt {
    /// A complete record; the next one begins at offset `end`.
    Entry { entry: LogEntry, end: usize },
    /// The segment ends within the record.
    Truncated,
    /// A checksum does not match, or the body cannot be decoded as an entry.
    Corrupt,
}

/// Appends one entry as a record to `buffer`, which will be written at offset `base` of its
/// segment.
pub(crate) fn encode(entry: &LogEntry, base: usize, batch_start: usize, buffer: &mut Vec<u8>) {
    let start = buffer.len();
    buffer.resize(start + HEADER_BYTES, 0);
    entry.encode_raw(buffer);
    let body_bytes = buffer.len() - start - HEADER_BYTES;
    buffer.resize(start + record_bytes(body_bytes), 0);
    let body_checksum = crc32c::crc32c(&buffer[start + HEADER_BYTES..]);
    write_header(&mut buffer[start..], body_bytes, batch_start, body_checksum);
    whitening::apply(base + start, &mut buffer[start..]);
}

/// Reads the record at `offset`, which must not be greater than the segment's length.
pub(crate) fn read(segment: &[u8], offset: usize) -> RecordAt {
    if segment.len() - offset < HEADER_BYTES {
        return RecordAt::Truncated;
    }
    let Some(header) = read_header(segment, offset) else {
        return RecordAt::Corrupt;
    };
    let end = offset + record_bytes(header.body_bytes);
    if end > segment.len() {
        return RecordAt::Truncated;
    }
    let body_start = offset + HEADER_BYTES;
    let mut body = segment[body_start..end].to_vec();
    whitening::apply(body_start, &mut body);
    if crc32c::crc32c(&body) != header.body_checksum {
        return RecordAt::Corrupt;
    }
    match LogEntry::decode(&body[..header.body_bytes]) {
        Ok(entry) => RecordAt::Entry { entry, end },
        Err(_) => RecordAt::Corrupt,
    }
}

/// Returns the header at `offset` if it is complete and its checksum matches.
pub(crate) fn read_header(segment: &[u8], offset: usize) -> Option<RecordHeader> {
    let whitened = segment.get(offset..offset + HEADER_BYTES)?;
    let mut header = whitened.to_vec();
    whitening::apply(offset, &mut header);
    let field = |at: usize| {
        let bytes = [header[at], header[at + 1], header[at + 2], header[at + 3]];
        u32::from_le_bytes(bytes)
    };
    let checksum = crc32c::crc32c(&header[..HEADER_CHECKSUM_OFFSET]);
    if checksum != field(HEADER_CHECKSUM_OFFSET) {
        return None;
    }
    Some(RecordHeader {
        body_bytes: field(0) as usize,
        batch_start: field(4) as usize,
        body_checksum: field(8),
    })
}

/// Bytes of a complete record, with header and padding, for a body of `body_bytes`.
fn record_bytes(body_bytes: usize) -> usize {
    HEADER_BYTES + body_bytes.next_multiple_of(WORD_BYTES)
}

fn write_header(target: &mut [u8], body_bytes: usize, batch_start: usize, body_checksum: u32) {
    target[0..4].copy_from_slice(&field_value(body_bytes).to_le_bytes());
    target[4..8].copy_from_slice(&field_value(batch_start).to_le_bytes());
    target[8..12].copy_from_slice(&body_checksum.to_le_bytes());
    let header_checksum = crc32c::crc32c(&target[..HEADER_CHECKSUM_OFFSET]);
    target[HEADER_CHECKSUM_OFFSET..HEADER_BYTES].copy_from_slice(&header_checksum.to_le_bytes());
}

/// Converts a size or offset to a header field. Panics from 4 GiB on, so that a larger value is
/// never written truncated; segments and entries are far smaller.
fn field_value(value: usize) -> u32 {
    u32::try_from(value).expect("log segments are smaller than 4 GiB")
}
