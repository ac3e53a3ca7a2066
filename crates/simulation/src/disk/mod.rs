//! Disks in memory that lose what was not synced, tear it and fail as real disks do.

pub mod condition;
pub mod disk_image;
pub mod file;
pub mod memory_disk;

pub use condition::DiskCondition;
pub use disk_image::DiskImage;
pub use memory_disk::MemoryDisk;
