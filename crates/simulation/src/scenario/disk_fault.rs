//! Temporary faults of a disk.

use std::time::Duration;

/// A temporary fault of a control node's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// Every sync takes this long.
    Slow(Duration),
    /// Syncs do not complete until the fault ends.
    Stalled,
    /// Writes fail because no space is left.
    Full,
    /// Syncs fail with an I/O error.
    FailingSync,
}
