//! Backends and placements from which a plan is computed.

use std::collections::BTreeMap;

use millford_api::config::{Document, Pool};
use millford_api::state::{Backend, PoolPlacement, StateValue, state_value::Kind};

use crate::document;
use crate::keys;
use crate::selection::selects;

/// All known backends, of any pool or none, and the current placements.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanCatalogue {
    /// Backends by id.
    pub backends: BTreeMap<String, Backend>,
    /// Placements by the pool's name.
    pub placements: BTreeMap<String, PoolPlacement>,
}

impl PlanCatalogue {
    /// Collects the backends and placements from the public state of the data shards. Other items
    /// are ignored.
    #[must_use]
    pub fn from_values<'values>(values: impl IntoIterator<Item = &'values StateValue>) -> Self {
        let mut catalogue = Self::default();
        for value in values {
            match &value.kind {
                Some(Kind::Backend(backend)) => catalogue.add_backend(backend.clone()),
                Some(Kind::Placement(placement)) => {
                    let pool = placement.pool.clone();
                    catalogue.placements.insert(pool, placement.clone());
                }
                _ => {}
            }
        }
        catalogue
    }

    /// Adds a backend, for instance one from the registry that no pool currently selects.
    pub fn add_backend(&mut self, backend: Backend) {
        self.backends.insert(backend.id.clone(), backend);
    }

    /// Returns the backends that a pool selects.
    pub(super) fn members(&self, pool: &Pool) -> impl Iterator<Item = &Backend> {
        let selector = pool.selector.as_ref();
        let backends = self.backends.values();
        backends.filter(move |backend| selects(selector, backend))
    }

    /// Returns the items that all shards together would contain under this document.
    pub(super) fn items(&self, document: &Document) -> BTreeMap<String, StateValue> {
        let mut kinds = document::items(document);
        for pool in &document.pools {
            for backend in self.members(pool) {
                let key = keys::backend(&pool.name, &backend.id);
                kinds.insert(key, Kind::Backend(backend.clone()));
            }
            if let Some(placement) = self.placements.get(&pool.name) {
                let key = keys::placement(&pool.name);
                kinds.insert(key, Kind::Placement(placement.clone()));
            }
        }
        let value = |kind| StateValue { kind: Some(kind) };
        kinds
            .into_iter()
            .map(|(key, kind)| (key, value(kind)))
            .collect()
    }
}
