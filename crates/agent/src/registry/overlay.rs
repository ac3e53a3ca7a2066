//! Backend states that the registry retires beyond what the feed says.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::state::{Backend, BackendState, StateItem, StateValue, state_value};

use crate::registry::view::RegistryView;

/// Prefix of the keys of backends in the public state: `backend/<pool>/<backend id>`.
pub(crate) const BACKEND_PREFIX: &str = "backend/";

/// States of backends that the registry gave while the control plane did not confirm every shard.
///
/// Merge rule: draining or removed wins, from whichever source. A backend that only the registry
/// knows is not added, since the agent cannot tell which pools it belongs to.
#[derive(Clone, Debug, Default)]
pub struct RegistryOverlay {
    states: BTreeMap<String, BackendState>,
}

impl RegistryOverlay {
    /// Whether nothing is overlaid.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Takes the registry's list over the feed's `items`; returns the keys whose overlay changed.
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
        self.states = retired(items, &listed);
        changed_keys(&previous, &self.states)
    }

    /// Drops everything; returns the keys that were overlaid.
    pub fn clear(&mut self) -> Vec<String> {
        std::mem::take(&mut self.states).into_keys().collect()
    }

    /// The item as the proxy should receive it.
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

/// Backends that the list retires: those it marks, and those it lacks.
fn retired<'a>(
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
    // A list that names none of a pool's backends is more likely a registry that has just started
    // than a pool that lost all of its backends; connection errors eject dead backends all the same.
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
