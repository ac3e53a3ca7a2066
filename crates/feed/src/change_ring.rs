//! Buffer of the most recent changes of a shard.

use std::collections::VecDeque;

use millford_api::internal::StateChange;

/// Largest number of retained changes.
const MAX_CHANGES: usize = 4096;

/// Largest number of items in all retained changes. It bounds the memory that large changes use.
const MAX_ITEMS: usize = 65_536;

/// The most recent changes, in order. No change after the floor is missing.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeRing {
    /// Offset after which all changes are retained.
    floor: u64,
    changes: VecDeque<StateChange>,
    /// Number of items in all retained changes.
    items: usize,
}

impl ChangeRing {
    /// Creates an empty ring for the changes after `floor`.
    pub(crate) fn starting_at(floor: u64) -> Self {
        Self {
            floor,
            ..Self::default()
        }
    }

    /// Returns the floor: a state at this offset or a later one can be brought up to date from the ring.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns the offset of the newest change, or the floor if there is none.
    pub(crate) fn last_offset(&self) -> u64 {
        self.changes.back().map_or(self.floor, |last| last.offset)
    }

    /// Adds a change and drops the oldest ones that exceed the limits.
    pub(crate) fn push(&mut self, change: StateChange) {
        self.items += change.items.len();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.items > MAX_ITEMS {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.items -= oldest.items.len();
            self.floor = oldest.offset;
        }
    }

    /// Returns the changes after `offset`, or `None` if some of them were dropped.
    pub(crate) fn after(&self, offset: u64) -> Option<impl Iterator<Item = &StateChange>> {
        if offset < self.floor {
            return None;
        }
        let first = self
            .changes
            .partition_point(|change| change.offset <= offset);
        Some(self.changes.range(first..))
    }
}
