//! What happens to a disk for a while.

use std::time::Duration;

/// A fault of a control node's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// Each sync takes this long.
    Slow(Duration),
    /// The disk stops answering until the fault ends.
    Stalled,
    /// No space is left.
    Full,
    /// Syncs fail.
    FailingSync,
}
