//! Simulated disks: in memory, with loss of unsynced data, torn writes and failures.

pub mod condition;
pub mod disk_image;
pub mod file;
pub mod memory_disk;

pub use condition::DiskCondition;
pub use disk_image::DiskImage;
pub use memory_disk::MemoryDisk;
