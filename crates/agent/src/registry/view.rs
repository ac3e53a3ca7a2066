//! The part of the registry's list that an agent needs.

use millford_api::state::BackendState;
use serde::Deserialize;

/// One registered backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryEntry {
    /// Identity given by the registry.
    pub id: String,
    /// Whether the registry retires it.
    pub state: BackendState,
}

/// The registry's list at one moment. It trails reality.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryView {
    /// Every registered backend.
    pub entries: Vec<RegistryEntry>,
}

#[derive(Deserialize)]
struct ListBody {
    backends: Vec<ListEntry>,
}

#[derive(Deserialize)]
struct ListEntry {
    id: String,
    #[serde(default)]
    state: String,
}

impl RegistryView {
    /// Reads the body of `GET /v1/backends`. Fields that the agent does not need are skipped.
    ///
    /// # Errors
    /// Fails when the body is not such a list.
    pub fn from_json(body: &[u8]) -> Result<Self, serde_json::Error> {
        let list: ListBody = serde_json::from_slice(body)?;
        let entries = list.backends.into_iter();
        let entries = entries
            .map(|entry| RegistryEntry {
                state: state_named(&entry.state),
                id: entry.id,
            })
            .collect();
        Ok(Self { entries })
    }
}

/// A state that the agent does not know is no reason to take work away.
fn state_named(name: &str) -> BackendState {
    match name {
        "draining" => BackendState::BackendDraining,
        "gone" => BackendState::BackendGone,
        _ => BackendState::BackendActive,
    }
}
