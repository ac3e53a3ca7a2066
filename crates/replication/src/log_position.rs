//! Position of an entry in the replicated log.

/// Term and index of a log entry.
///
/// Ordered as Raft compares logs by the positions of their last entries (section 3.6.1 of the
/// thesis): the higher term is more up to date; with equal terms, the higher index is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogPosition {
    // The derived `Ord` compares fields in declaration order, so the term must come first.
    pub(crate) term: u64,
    /// Index of the entry, from 1; 0 is the position before the first entry.
    pub(crate) index: u64,
}
