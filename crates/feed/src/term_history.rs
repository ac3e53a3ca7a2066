//! Terms of the log entries that a publisher has applied.

use std::collections::BTreeMap;

use crate::position::FeedPosition;

/// Terms of the applied entries: for each run of entries with the same term, the first offset and the
/// term. Runs before a floor are dropped.
///
/// It determines whether a subscriber's position is part of this replica's history. This is always the case
/// unless a forced recovery dropped entries that the subscriber has applied.
#[derive(Clone, Debug, Default)]
pub(crate) struct TermHistory {
    terms_by_first_offset: BTreeMap<u64, u64>,
}

impl TermHistory {
    /// Creates a history that starts at `position`.
    pub(crate) fn starting_at(position: FeedPosition) -> Self {
        let terms_by_first_offset = BTreeMap::from([(position.offset, position.term)]);
        Self {
            terms_by_first_offset,
        }
    }

    /// Records that the entry at `position` was applied.
    pub(crate) fn record(&mut self, position: FeedPosition) {
        let last = self.terms_by_first_offset.last_key_value();
        if last.is_none_or(|(_, term)| *term != position.term) {
            self.terms_by_first_offset
                .insert(position.offset, position.term);
        }
    }

    /// Returns whether the entry at `position` is part of this history.
    pub(crate) fn contains(&self, position: FeedPosition) -> bool {
        let run = self
            .terms_by_first_offset
            .range(..=position.offset)
            .next_back();
        run.is_some_and(|(_, term)| *term == position.term)
    }

    /// Drops runs that ended before `floor`.
    pub(crate) fn trim(&mut self, floor: u64) {
        let Some((&start, _)) = self.terms_by_first_offset.range(..=floor).next_back() else {
            return;
        };
        self.terms_by_first_offset = self.terms_by_first_offset.split_off(&start);
    }
}
