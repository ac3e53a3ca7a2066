//! What one read of the service registry returns.

use std::collections::BTreeMap;

use millford_api::state::{Backend, BackendState, Declaration};
use serde::Deserialize;

/// One backend as the registry lists it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct RegistryEntry {
    /// Identity; a replaced backend gets a new one.
    pub id: String,
    /// IP address and port.
    pub address: String,
    /// Zone of the backend.
    #[serde(default)]
    pub zone: String,
    /// Processor cores.
    #[serde(default)]
    pub cores: u32,
    /// Memory bandwidth, in GB/s.
    #[serde(default)]
    pub bandwidth_gbps: f64,
    /// `active`, `draining` or `gone`.
    #[serde(default)]
    pub state: String,
    /// Name of the service that the backend belongs to; empty where the registry knows none.
    #[serde(default)]
    pub service: String,
    /// What the backend can serve.
    #[serde(default)]
    pub declarations: Vec<RegistryDeclaration>,
    /// Load that the backend reported, by model; [`RegistryEntry::load_age_ms`] old.
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
    /// Age of the reported load, in milliseconds.
    #[serde(default)]
    pub load_age_ms: u64,
}

/// One model replica that a backend declares.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct RegistryDeclaration {
    /// Model name.
    #[serde(default)]
    pub model: String,
    /// Model version.
    #[serde(default)]
    pub version: String,
    /// Pipeline stage, as the platform names it.
    #[serde(default)]
    pub stage: String,
    /// Names of the loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Everything that the registry listed at one poll.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct RegistryView {
    /// The backends.
    pub backends: Vec<RegistryEntry>,
    /// Requests that the read took: a registry may return its list in pages.
    #[serde(skip)]
    pub requests: u32,
}

impl RegistryEntry {
    /// The state that the registry reports. An unknown one is no reason to stop using the backend.
    #[must_use]
    pub fn backend_state(&self) -> BackendState {
        match self.state.as_str() {
            "draining" => BackendState::BackendDraining,
            "gone" => BackendState::BackendGone,
            _ => BackendState::BackendActive,
        }
    }

    /// The backend as the catalogue holds it.
    #[must_use]
    pub fn to_backend(&self) -> Backend {
        Backend {
            id: self.id.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            declarations: self.declarations.iter().map(to_declaration).collect(),
            cores: self.cores,
            bandwidth_gbps: self.bandwidth_gbps,
            state: self.backend_state().into(),
            service: self.service.clone(),
        }
    }
}

fn to_declaration(declaration: &RegistryDeclaration) -> Declaration {
    Declaration {
        model: declaration.model.clone(),
        version: declaration.version.clone(),
        stage: declaration.stage.clone(),
        adapters: declaration.adapters.clone(),
    }
}
