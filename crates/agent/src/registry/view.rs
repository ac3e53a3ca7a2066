//! The part of the registry's list that an agent needs.

use millford_api::state::BackendState;

/// One registered backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryEntry {
    /// Identity given by the registry.
    pub id: String,
    /// Whether the registry retires it.
    pub state: BackendState,
}

/// The registry's list at one moment, which may be older than the backends' true state.
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
