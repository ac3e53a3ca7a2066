//! Segmented log with checksums and the snapshots beside it.
