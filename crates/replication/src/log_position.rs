//! Position of an entry in the replicated log.

/// Term and index of a log entry.
///
/// The order is the one by which Raft compares logs (section 3.6.1 of the thesis): the log whose last
/// entry has the higher term is more up to date; with equal terms, the longer log is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogPosition {
    // Compared first: the order of the fields is the order of the comparison.
    pub(crate) term: u64,
    /// Index of the entry, from 1; 0 stands for the start of the log.
    pub(crate) index: u64,
}
