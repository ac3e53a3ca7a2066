//! Public state of a shard: the items that the feed sends to every node.

use std::collections::BTreeMap;

use millford_api::state::{StateItem, StateValue, state_value};

/// Items of the public state, sorted by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct PublicState {
    items: BTreeMap<String, StateValue>,
}

impl PublicState {
    /// Returns all items by key.
    pub(crate) fn items(&self) -> &BTreeMap<String, StateValue> {
        &self.items
    }

    /// Returns the value of a key; `None` when there is no such item.
    pub(crate) fn get(&self, key: &str) -> Option<&state_value::Kind> {
        self.items.get(key)?.kind.as_ref()
    }

    /// Returns the keys that begin with `prefix`, sorted.
    pub(crate) fn keys_under(&self, prefix: &str) -> Vec<String> {
        self.items
            .range(prefix.to_owned()..)
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Sets a key. Returns the change, or `None` when the key already has this value.
    pub(crate) fn set(&mut self, key: String, kind: state_value::Kind) -> Option<StateItem> {
        let value = StateValue { kind: Some(kind) };
        if self.items.get(&key) == Some(&value) {
            return None;
        }
        self.items.insert(key.clone(), value.clone());
        Some(StateItem {
            key,
            value: Some(value),
        })
    }

    /// Deletes a key. Returns the change, or `None` when there is no such item.
    pub(crate) fn delete(&mut self, key: &str) -> Option<StateItem> {
        self.items.remove(key)?;
        Some(StateItem {
            key: key.to_owned(),
            value: None,
        })
    }

    /// Replaces all items with those of a snapshot.
    pub(crate) fn replace(&mut self, items: BTreeMap<String, StateValue>) {
        self.items = items;
    }
}
