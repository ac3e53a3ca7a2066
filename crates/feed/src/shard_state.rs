//! Public state of one shard, kept by both sides of the feed.

use std::collections::BTreeMap;

use millford_api::internal::StateSnapshot;
use millford_api::state::{StateItem, StateValue};
use millford_core::ShardId;

use crate::position::FeedPosition;

/// Items of a shard at a position of its log.
#[derive(Clone, Debug)]
pub(crate) struct ShardState {
    shard: ShardId,
    position: FeedPosition,
    items: BTreeMap<String, StateValue>,
}

impl ShardState {
    /// Creates the empty state of a shard, before its first log entry.
    pub(crate) fn new(shard: ShardId) -> Self {
        Self {
            shard,
            position: FeedPosition::START,
            items: BTreeMap::new(),
        }
    }

    pub(crate) fn shard(&self) -> ShardId {
        self.shard
    }

    pub(crate) fn position(&self) -> FeedPosition {
        self.position
    }

    pub(crate) fn items(&self) -> &BTreeMap<String, StateValue> {
        &self.items
    }

    /// Sets the position. The caller must update the items to match.
    pub(crate) fn set_position(&mut self, position: FeedPosition) {
        self.position = position;
    }

    /// Sets an item, or deletes it if it has no value. Returns whether the state changed.
    pub(crate) fn set(&mut self, item: &StateItem) -> bool {
        if self.items.get(&item.key) == item.value.as_ref() {
            return false;
        }
        match &item.value {
            Some(value) => self.items.insert(item.key.clone(), value.clone()),
            None => self.items.remove(&item.key),
        };
        true
    }

    /// Replaces all items; those without a value are ignored. Returns the items that changed: first the
    /// new or changed ones in the given order, then the deleted ones in the order of their keys.
    pub(crate) fn replace(&mut self, items: impl IntoIterator<Item = StateItem>) -> Vec<StateItem> {
        let mut former = std::mem::take(&mut self.items);
        let mut changed = Vec::new();
        for item in items {
            let Some(value) = item.value else { continue };
            if former.remove(&item.key).as_ref() != Some(&value) {
                changed.push(StateItem {
                    key: item.key.clone(),
                    value: Some(value.clone()),
                });
            }
            self.items.insert(item.key, value);
        }
        let deleted = former.into_keys();
        changed.extend(deleted.map(|key| StateItem { key, value: None }));
        changed
    }

    /// Returns the complete state as one message.
    pub(crate) fn snapshot(&self) -> StateSnapshot {
        let items = self.items.iter().map(|(key, value)| StateItem {
            key: key.clone(),
            value: Some(value.clone()),
        });
        StateSnapshot {
            shard: self.shard.0,
            term: self.position.term,
            offset: self.position.offset,
            items: items.collect(),
            config_source: Vec::new(),
        }
    }
}
