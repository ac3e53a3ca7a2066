//! Sizes of the storage.

/// Bytes after which a new log segment begins.
pub const DEFAULT_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// Entries kept behind a snapshot, so that a replica that is a little behind needs no snapshot.
pub const DEFAULT_RETAINED_ENTRIES: u64 = 2_000;

/// Bytes of entries kept behind a snapshot: a few large entries must not fill memory.
pub const DEFAULT_RETAINED_BYTES: usize = 8 * 1024 * 1024;

/// Sizes of a replica's storage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorageOptions {
    /// A segment that has reached this many bytes is closed.
    pub segment_bytes: u64,
    /// Most entries kept behind the snapshot.
    pub retained_entries: u64,
    /// Most bytes of entries kept behind the snapshot.
    pub retained_bytes: usize,
}

impl Default for StorageOptions {
    fn default() -> Self {
        Self {
            segment_bytes: DEFAULT_SEGMENT_BYTES,
            retained_entries: DEFAULT_RETAINED_ENTRIES,
            retained_bytes: DEFAULT_RETAINED_BYTES,
        }
    }
}
