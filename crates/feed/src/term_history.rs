//! Terms of the log entries that a publisher has passed.

use std::collections::BTreeMap;

use crate::position::FeedPosition;

/// First offset of each term, from a floor on.
///
/// Tells whether a subscriber's position lies in this replica's history. It differs only after a
/// forced recovery, which may have dropped entries that the subscriber has shown.
#[derive(Clone, Debug, Default)]
pub struct TermHistory {
    first_offsets: BTreeMap<u64, u64>,
}

impl TermHistory {
    /// A history that starts at `position`.
    #[must_use]
    pub fn starting_at(position: FeedPosition) -> Self {
        let first_offsets = BTreeMap::from([(position.offset, position.term)]);
        Self { first_offsets }
    }

    /// Notes that the entry at `position` was applied.
    pub fn record(&mut self, position: FeedPosition) {
        let last = self.first_offsets.last_key_value();
        if last.is_none_or(|(_, term)| *term != position.term) {
            self.first_offsets.insert(position.offset, position.term);
        }
    }

    /// Whether the entry at `position` belongs to this history.
    #[must_use]
    pub fn contains(&self, position: FeedPosition) -> bool {
        let run = self.first_offsets.range(..=position.offset).next_back();
        run.is_some_and(|(_, term)| *term == position.term)
    }

    /// Forgets runs that ended before `floor`.
    pub fn trim(&mut self, floor: u64) {
        let Some((&start, _)) = self.first_offsets.range(..=floor).next_back() else {
            return;
        };
        self.first_offsets = self.first_offsets.split_off(&start);
    }
}
