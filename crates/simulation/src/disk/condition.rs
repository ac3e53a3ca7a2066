//! Present condition of a simulated disk.

/// Condition of a simulated disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskCondition {
    /// Syncs take a fraction of a millisecond.
    #[default]
    Healthy,
    /// Every sync takes this many microseconds.
    Slow(u64),
    /// Syncs do not complete until the fault ends.
    Stalled,
    /// Writes fail because no space is left; an append may still write a part.
    Full,
    /// Syncs fail with an I/O error; the unsynced bytes may be lost.
    FailingSync,
}
