//! The most recent changes of a shard.

use std::collections::VecDeque;

use millford_api::internal::StateChange;

/// Most changes retained.
const MAX_CHANGES: usize = 4096;

/// Most items retained over all changes, so that large changes do not fill the memory.
const MAX_ITEMS: usize = 65_536;

/// Recent changes in order, complete from a floor on.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeRing {
    floor: u64,
    changes: VecDeque<StateChange>,
    items: usize,
}

impl ChangeRing {
    /// An empty ring that is complete for the changes after `floor`.
    pub(crate) fn starting_at(floor: u64) -> Self {
        Self {
            floor,
            ..Self::default()
        }
    }

    /// A state at this offset or later can be brought up to date from the ring.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    /// Offset of the newest change, or the floor.
    pub(crate) fn last_offset(&self) -> u64 {
        self.changes.back().map_or(self.floor, |last| last.offset)
    }

    /// Adds the newest change and drops the oldest ones above the limits.
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

    /// The changes after `offset`, or none if some of them were dropped.
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
