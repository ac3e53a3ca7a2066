//! How a disk behaves for the moment.

/// Behaviour of a simulated disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskCondition {
    /// Syncs take a fraction of a millisecond.
    #[default]
    Healthy,
    /// Each sync takes this many microseconds.
    Slow(u64),
    /// The next sync takes until the fault ends.
    Stalled,
    /// Writes fail because no space is left.
    Full,
    /// Syncs fail; the unsynced bytes may be lost.
    FailingSync,
}
