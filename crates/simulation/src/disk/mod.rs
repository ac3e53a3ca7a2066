//! Disks in memory that lose what was not synced, tear it and fail as real disks do.

pub mod condition;
pub mod file;
pub mod memory_disk;
pub mod platter;

pub use condition::DiskCondition;
pub use memory_disk::MemoryDisk;
pub use platter::Platter;
