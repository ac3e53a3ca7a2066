//! Data returned by a read of the service registry.

use std::collections::BTreeMap;

use millford_api::state::{Backend, BackendState, Declaration};
use serde::Deserialize;

/// One backend in the registry's list.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct RegistryEntry {
    /// Identity of the backend. A replaced backend gets a new one.
    pub id: String,
    /// IP address and port of the backend.
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
    /// `active`, `draining` or `gone`; see [`RegistryEntry::backend_state`] for other values.
    #[serde(default)]
    pub state: String,
    /// Name of the service that the backend belongs to; empty if the registry has none for it.
    #[serde(default)]
    pub service: String,
    /// The model replicas that the backend can serve.
    #[serde(default)]
    pub declarations: Vec<RegistryDeclaration>,
    /// Load that the backend reported, by model; its age is [`RegistryEntry::load_age_ms`].
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
    /// Age of the reported load, in milliseconds.
    #[serde(default)]
    pub load_age_ms: u64,
}

/// One model replica that a backend declares.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct RegistryDeclaration {
    /// Name of the model.
    #[serde(default)]
    pub model: String,
    /// Version of the model.
    #[serde(default)]
    pub version: String,
    /// Name of the pipeline stage, as the platform defines it.
    #[serde(default)]
    pub stage: String,
    /// Names of the loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// The complete list of the registry, as of one read.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct RegistryView {
    /// The backends in the registry's order.
    pub backends: Vec<RegistryEntry>,
    /// Number of requests that the read took; more than one if the registry returns its list in
    /// pages.
    #[serde(skip)]
    pub requests: u32,
}

impl RegistryEntry {
    /// The reported state. An unknown state counts as active, so that it does not stop the use of
    /// the backend.
    #[must_use]
    pub fn backend_state(&self) -> BackendState {
        match self.state.as_str() {
            "draining" => BackendState::BackendDraining,
            "gone" => BackendState::BackendGone,
            _ => BackendState::BackendActive,
        }
    }

    /// Converts the entry to the form that the catalogue stores.
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
