//! Options of the storage.

/// Bytes after which a new log segment begins.
pub(crate) const DEFAULT_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// Entries retained behind a snapshot, so that a replica that lags a little needs no snapshot.
pub(crate) const DEFAULT_RETAINED_ENTRIES: u64 = 2_000;

/// Bytes of entries retained behind a snapshot: a few large entries must not fill memory.
pub(crate) const DEFAULT_RETAINED_BYTES: usize = 8 * 1024 * 1024;

/// Sizes of a replica's storage, in bytes and entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorageOptions {
    /// A segment that has reached this many bytes is closed.
    pub segment_bytes: u64,
    /// Most entries retained behind the snapshot.
    pub retained_entries: u64,
    /// Most bytes of entries retained behind the snapshot.
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
