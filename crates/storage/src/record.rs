//! Log records: one entry each, with a checksum of its own for the header and for the body.
//!
//! Layout, before whitening (see [`crate::whitening`]), little endian:
//! body length (4), batch start (4), checksum of the body (4), checksum of the header (4), body,
//! zeros up to a multiple of eight bytes. The batch start is the position in the segment up to
//! which everything had been synced when the record was written.

use millford_api::replication::LogEntry;
use prost::Message;

use crate::whitening::{self, WORD_BYTES};

/// Bytes of a record's header.
pub const HEADER_BYTES: usize = 16;

/// Header of a record whose checksum was right.
#[derive(Clone, Copy, Debug)]
pub struct RecordHeader {
    /// Bytes of the body, without padding.
    pub body_bytes: usize,
    /// Everything before this position was synced when the record was written.
    pub batch_start: usize,
    body_checksum: u32,
}

/// What stands at a position of a segment.
#[derive(Debug)]
pub enum RecordAt {
    /// A whole entry; the next record begins at `end`.
    Entry { entry: LogEntry, end: usize },
    /// The bytes end within the record.
    Short,
    /// A checksum is wrong, or the body is no entry.
    Corrupt,
}

/// Appends one entry as a record. `buffer` will stand at `base` in its segment.
pub fn encode(entry: &LogEntry, base: usize, batch_start: usize, buffer: &mut Vec<u8>) {
    let start = buffer.len();
    buffer.resize(start + HEADER_BYTES, 0);
    entry.encode_raw(buffer);
    let body_bytes = buffer.len() - start - HEADER_BYTES;
    buffer.resize(start + record_bytes(body_bytes), 0);
    let body_checksum = crc32c::crc32c(&buffer[start + HEADER_BYTES..]);
    write_header(&mut buffer[start..], body_bytes, batch_start, body_checksum);
    whitening::apply(base + start, &mut buffer[start..]);
}

/// Reads the record at `offset`, which must not be past the end.
pub fn read(segment: &[u8], offset: usize) -> RecordAt {
    if segment.len() - offset < HEADER_BYTES {
        return RecordAt::Short;
    }
    let Some(header) = read_header(segment, offset) else {
        return RecordAt::Corrupt;
    };
    let end = offset + record_bytes(header.body_bytes);
    if end > segment.len() {
        return RecordAt::Short;
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

/// The header at `offset` if it is whole and its checksum is right.
pub fn read_header(segment: &[u8], offset: usize) -> Option<RecordHeader> {
    let whitened = segment.get(offset..offset + HEADER_BYTES)?;
    let mut header = whitened.to_vec();
    whitening::apply(offset, &mut header);
    let word = |at: usize| {
        let bytes = [header[at], header[at + 1], header[at + 2], header[at + 3]];
        u32::from_le_bytes(bytes)
    };
    if crc32c::crc32c(&header[..12]) != word(12) {
        return None;
    }
    Some(RecordHeader {
        body_bytes: word(0) as usize,
        batch_start: word(4) as usize,
        body_checksum: word(8),
    })
}

/// Bytes of a whole record with a body of `body_bytes`.
pub fn record_bytes(body_bytes: usize) -> usize {
    HEADER_BYTES + body_bytes.next_multiple_of(WORD_BYTES)
}

fn write_header(target: &mut [u8], body_bytes: usize, batch_start: usize, body_checksum: u32) {
    target[0..4].copy_from_slice(&narrow(body_bytes).to_le_bytes());
    target[4..8].copy_from_slice(&narrow(batch_start).to_le_bytes());
    target[8..12].copy_from_slice(&body_checksum.to_le_bytes());
    let header_checksum = crc32c::crc32c(&target[..12]);
    target[12..16].copy_from_slice(&header_checksum.to_le_bytes());
}

/// Segments and entries stay far below 4 GiB; a larger one must not be written truncated.
fn narrow(value: usize) -> u32 {
    u32::try_from(value).expect("log segments are smaller than 4 GiB")
}
