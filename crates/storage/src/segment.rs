//! One segment of the log: an append-only file of records.

use millford_api::replication::LogEntry;

use crate::record;

const FILE_PREFIX: &str = "log-";
const FILE_SUFFIX: &str = ".v1";

/// A segment's file name and the offsets of its records.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    /// File name, which contains the index of the first entry in twenty digits.
    pub(crate) name: String,
    /// Index of the first entry.
    pub(crate) first_index: u64,
    /// Offset of each record that is on disk and synced, in bytes.
    record_offsets: Vec<u64>,
    /// Total bytes of these records.
    bytes: u64,
}

impl Segment {
    /// Creates an empty segment whose first entry will have index `first_index`.
    pub(crate) fn new(first_index: u64) -> Self {
        Self {
            name: format!("{FILE_PREFIX}{first_index:020}{FILE_SUFFIX}"),
            first_index,
            record_offsets: Vec::new(),
            bytes: 0,
        }
    }

    /// Parses the first index from a segment's file name. Returns `None` for other files.
    pub(crate) fn first_index_in_name(name: &str) -> Option<u64> {
        let digits = name.strip_prefix(FILE_PREFIX)?.strip_suffix(FILE_SUFFIX)?;
        digits.parse().ok()
    }

    /// Index of the last entry; `first_index - 1` if the segment is empty.
    pub(crate) fn last_index(&self) -> u64 {
        self.first_index + self.record_offsets.len() as u64 - 1
    }

    /// Total bytes of the synced records, which is the offset where the next one begins.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Encodes entries as one batch that starts at the end of the synced records.
    pub(crate) fn encode(&self, entries: &[LogEntry]) -> EncodedBatch {
        let base = usize::try_from(self.bytes).unwrap_or(usize::MAX);
        let mut buffer = Vec::new();
        let mut record_ends = Vec::with_capacity(entries.len());
        for entry in entries {
            record::encode(entry, base, base, &mut buffer);
            record_ends.push(self.bytes + buffer.len() as u64);
        }
        EncodedBatch {
            buffer,
            record_ends,
        }
    }

    /// Adds a record that ends at offset `end`, after it has been synced or read.
    pub(crate) fn push(&mut self, end: u64) {
        self.record_offsets.push(self.bytes);
        self.bytes = end;
    }

    /// Removes the records from `index` on and returns the total bytes of the remaining ones. Does
    /// not change the file.
    pub(crate) fn truncate_from(&mut self, index: u64) -> u64 {
        let remaining =
            usize::try_from(index.saturating_sub(self.first_index)).unwrap_or(usize::MAX);
        if let Some(start) = self.record_offsets.get(remaining) {
            self.bytes = *start;
            self.record_offsets.truncate(remaining);
        }
        self.bytes
    }
}

/// Bytes to append, and the offset in the segment where each record ends.
#[derive(Debug)]
pub(crate) struct EncodedBatch {
    pub(crate) buffer: Vec<u8>,
    pub(crate) record_ends: Vec<u64>,
}
