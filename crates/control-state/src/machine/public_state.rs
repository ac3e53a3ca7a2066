//! Items that the feed carries, with the changes of the command being applied.

use std::collections::BTreeMap;

use millford_api::state::{StateItem, StateValue, state_value};

/// Ordered items of the public state.
#[derive(Clone, Debug, Default)]
pub(crate) struct PublicState {
    items: BTreeMap<String, StateValue>,
}

impl PublicState {
    /// Every item.
    pub(crate) fn items(&self) -> &BTreeMap<String, StateValue> {
        &self.items
    }

    /// The value of a key.
    pub(crate) fn get(&self, key: &str) -> Option<&state_value::Kind> {
        self.items.get(key)?.kind.as_ref()
    }

    /// Keys that begin with `prefix`, in order.
    pub(crate) fn keys_under(&self, prefix: &str) -> Vec<String> {
        self.items
            .range(prefix.to_owned()..)
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Sets a key; returns the change, or nothing when the value is the same already.
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

    /// Deletes a key; returns the change, or nothing when it was absent.
    pub(crate) fn delete(&mut self, key: &str) -> Option<StateItem> {
        self.items.remove(key)?;
        Some(StateItem {
            key: key.to_owned(),
            value: None,
        })
    }

    /// Replaces everything, for a restore.
    pub(crate) fn replace(&mut self, items: BTreeMap<String, StateValue>) {
        self.items = items;
    }
}
