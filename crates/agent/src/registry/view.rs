//! The part of the service registry's list that the agent uses.

use millford_api::state::BackendState;

/// One registered backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryEntry {
    /// Backend id assigned by the registry.
    pub id: String,
    /// State listed by the registry: active, draining or gone.
    pub state: BackendState,
}

/// Snapshot of the registry's list, which may be older than the actual state of the backends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryView {
    /// Every registered backend.
    pub entries: Vec<RegistryEntry>,
}

impl From<&millford_registry::RegistryView> for RegistryView {
    fn from(list: &millford_registry::RegistryView) -> Self {
        let entries = list.backends.iter().map(|entry| RegistryEntry {
            id: entry.id.clone(),
            state: entry.backend_state(),
        });
        Self {
            entries: entries.collect(),
        }
    }
}
