//! Durable storage of one shard replica: a segmented log with checksums, the hard state (term, vote
//! and node identity) and the newest snapshot.
//!
//! All I/O goes through the [`Disk`] trait, so that the same code runs on real files ([`FileDisk`])
//! and on a simulated disk that loses unsynced data.
//!
//! Order of writes that recovery relies on:
//! - the hard state is written before the first log entry or snapshot of a replica;
//! - a segment is synced completely before the next one is created, so that only the last segment
//!   can have a torn tail;
//! - a snapshot is durable before any log entry that it covers is removed;
//! - a truncation is durable before anything is appended after it.

mod checked_file;
mod disk;
mod error;
mod file_disk;
mod log;
mod log_recovery;
mod options;
mod record;
mod replica_storage;
mod segment;
mod segment_recovery;
mod snapshot;
mod whitening;

pub use disk::Disk;
pub use error::{DiskError, StorageError};
pub use file_disk::FileDisk;
pub use log::SegmentedLog;
pub use options::StorageOptions;
pub use replica_storage::ReplicaStorage;
pub use snapshot::{Snapshot, SnapshotMeta};
