//! Size limits of the storage.

/// Size at which a log segment is full.
pub(crate) const DEFAULT_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// Covered entries retained after a snapshot, so that a replica which lags slightly needs no
/// snapshot.
pub(crate) const DEFAULT_RETAINED_ENTRIES: u64 = 2_000;

/// Bytes of covered entries retained after a snapshot, so that large entries do not fill memory.
pub(crate) const DEFAULT_RETAINED_BYTES: usize = 8 * 1024 * 1024;

/// Size limits of a replica's storage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorageOptions {
    /// Size in bytes at which a segment is full and the next batch starts a new one.
    pub segment_bytes: u64,
    /// Most entries covered by the snapshot that the log retains.
    pub retained_entries: u64,
    /// Most encoded bytes of entries covered by the snapshot that the log retains.
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
