//! One segment of the log: a file that is only appended to.

use millford_api::replication::LogEntry;

use crate::record;

const FILE_PREFIX: &str = "log-";
const FILE_SUFFIX: &str = ".v1";

/// A segment's file and the offsets of its records.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    /// File name; it carries the index of the first entry.
    pub(crate) name: String,
    /// Index of the first entry.
    pub(crate) first_index: u64,
    /// Offset of each record; the records are on disk and synced.
    record_offsets: Vec<u64>,
    /// Bytes of all records.
    bytes: u64,
}

impl Segment {
    /// An empty segment that begins at `first_index`.
    pub(crate) fn new(first_index: u64) -> Self {
        Self {
            name: format!("{FILE_PREFIX}{first_index:020}{FILE_SUFFIX}"),
            first_index,
            record_offsets: Vec::new(),
            bytes: 0,
        }
    }

    /// The first index in a segment's file name; `None` for other files.
    pub(crate) fn first_index_of(name: &str) -> Option<u64> {
        let digits = name.strip_prefix(FILE_PREFIX)?.strip_suffix(FILE_SUFFIX)?;
        digits.parse().ok()
    }

    /// Index of the last entry; one less than the first when empty.
    pub(crate) fn last_index(&self) -> u64 {
        self.first_index + self.record_offsets.len() as u64 - 1
    }

    /// Bytes of the records.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Encodes entries as one batch that begins at the segment's end.
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

    /// Records that a record ends at `end`, after it has been synced or read.
    pub(crate) fn push(&mut self, end: u64) {
        self.record_offsets.push(self.bytes);
        self.bytes = end;
    }

    /// Forgets the records from `index` on and returns the bytes that remain.
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

/// Bytes to append and the offset where each record ends.
#[derive(Debug)]
pub(crate) struct EncodedBatch {
    pub(crate) buffer: Vec<u8>,
    pub(crate) record_ends: Vec<u64>,
}
