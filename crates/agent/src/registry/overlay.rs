//! Backends that the service registry retires while the feed still lists them as active.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::state::{Backend, BackendState, StateItem, StateValue, state_value};

use crate::registry::view::RegistryView;

/// Key prefix of backends in the public state; the full key is `backend/<pool>/<backend id>`.
pub(crate) const BACKEND_PREFIX: &str = "backend/";

/// Backend states read from the service registry while the control plane did not confirm every
/// shard.
///
/// Merge rule: draining or removed takes precedence, no matter which source reports it. A backend
/// that only the registry lists is not added, since the agent cannot determine its pools.
#[derive(Clone, Debug, Default)]
pub struct RegistryOverlay {
    states: BTreeMap<String, BackendState>,
}

impl RegistryOverlay {
    /// Returns whether the overlay contains no backend states.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Replaces the overlay with the states that the registry's list gives for the feed's `items`.
    /// Returns the keys whose overlay changed.
    pub fn update<'a>(
        &mut self,
        items: impl Iterator<Item = (&'a String, &'a StateValue)>,
        view: &RegistryView,
    ) -> Vec<String> {
        let listed: BTreeMap<&str, BackendState> = view
            .entries
            .iter()
            .map(|entry| (entry.id.as_str(), entry.state))
            .collect();
        let previous = std::mem::take(&mut self.states);
        self.states = retired_backends(items, &listed);
        changed_keys(&previous, &self.states)
    }

    /// Clears the overlay. Returns the keys that it contained.
    pub fn clear(&mut self) -> Vec<String> {
        std::mem::take(&mut self.states).into_keys().collect()
    }

    /// Merges the overlay into an item, giving the item to send to the proxy.
    #[must_use]
    pub fn merge(&self, item: StateItem) -> StateItem {
        let Some(&overlaid) = self.states.get(&item.key) else {
            return item;
        };
        let Some(backend) = item.value.as_ref().and_then(backend_of) else {
            return item;
        };
        let state = i32::from(overlaid).max(backend.state);
        let backend = Backend {
            state,
            ..backend.clone()
        };
        StateItem {
            key: item.key,
            value: Some(StateValue {
                kind: Some(state_value::Kind::Backend(backend)),
            }),
        }
    }
}

fn backend_of(value: &StateValue) -> Option<&Backend> {
    match &value.kind {
        Some(state_value::Kind::Backend(backend)) => Some(backend),
        _ => None,
    }
}

fn pool_of(key: &str) -> Option<&str> {
    let rest = key.strip_prefix(BACKEND_PREFIX)?;
    rest.split_once('/').map(|(pool, _)| pool)
}

/// Returns the states of the backends that the list retires: those not listed as active, and those
/// missing from it.
fn retired_backends<'a>(
    items: impl Iterator<Item = (&'a String, &'a StateValue)>,
    listed: &BTreeMap<&str, BackendState>,
) -> BTreeMap<String, BackendState> {
    let mut absent: Vec<(&str, &String)> = Vec::new();
    let mut present_pools = BTreeSet::new();
    let mut states = BTreeMap::new();
    for (key, value) in items {
        let (Some(pool), Some(backend)) = (pool_of(key), backend_of(value)) else {
            continue;
        };
        match listed.get(backend.id.as_str()) {
            None => absent.push((pool, key)),
            Some(state) => {
                present_pools.insert(pool);
                if *state != BackendState::BackendActive {
                    states.insert(key.clone(), *state);
                }
            }
        }
    }
    // A list that contains none of a pool's backends more likely comes from a registry that has
    // just started than from a pool that lost all of its backends. Connection errors eject failed
    // backends in any case.
    absent.retain(|(pool, _)| present_pools.contains(pool));
    states.extend(
        absent
            .into_iter()
            .map(|(_, key)| (key.clone(), BackendState::BackendGone)),
    );
    states
}

fn changed_keys(
    previous: &BTreeMap<String, BackendState>,
    current: &BTreeMap<String, BackendState>,
) -> Vec<String> {
    let keys: BTreeSet<&String> = previous.keys().chain(current.keys()).collect();
    let changed = keys
        .into_iter()
        .filter(|key| previous.get(*key) != current.get(*key));
    changed.cloned().collect()
}
