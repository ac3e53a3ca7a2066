//! Position of a shard's public state in the shard's log.

use millford_api::internal::{FeedProgress, StateChange, StateSnapshot, Subscribe};

/// Term and index of the last log entry that a state includes, ordered by term first.
///
/// Terms and offsets of committed entries only increase, so a smaller position is an older state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FeedPosition {
    /// Term of the last included entry.
    pub term: u64,
    /// Log index of the last included entry.
    pub offset: u64,
}

impl FeedPosition {
    /// Position before the first entry, where the state is empty.
    pub const START: FeedPosition = FeedPosition { term: 0, offset: 0 };

    /// Creates the position of the entry with this term and log index.
    #[must_use]
    pub fn new(term: u64, offset: u64) -> Self {
        Self { term, offset }
    }
}

impl From<&StateSnapshot> for FeedPosition {
    fn from(snapshot: &StateSnapshot) -> Self {
        Self::new(snapshot.term, snapshot.offset)
    }
}

impl From<&StateChange> for FeedPosition {
    fn from(change: &StateChange) -> Self {
        Self::new(change.term, change.offset)
    }
}

impl From<&FeedProgress> for FeedPosition {
    fn from(progress: &FeedProgress) -> Self {
        Self::new(progress.term, progress.offset)
    }
}

impl From<&Subscribe> for FeedPosition {
    fn from(subscribe: &Subscribe) -> Self {
        Self::new(subscribe.term, subscribe.offset)
    }
}
