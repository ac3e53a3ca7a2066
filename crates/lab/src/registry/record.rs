//! Records of the registry's HTTP interface.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// State of a backend, as set by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegistryState {
    /// The backend is in service.
    Active,
    /// The backend is being retired and must receive no new work.
    Draining,
}

/// One model that a backend serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationRecord {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Deployment stage, for instance `serve`.
    pub stage: String,
    /// Names of the loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A backend in a registration and in the registry's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Unique id; a replacement of the backend has a new one.
    pub id: String,
    /// IP address and port.
    pub address: String,
    /// Zone of the machine.
    pub zone: String,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory bandwidth, in GB/s.
    pub bandwidth_gbps: f64,
    /// State set by the platform; backends register as active.
    pub state: RegistryState,
    /// Models that the backend serves.
    pub declarations: Vec<DeclarationRecord>,
    /// Load by model, as the backend reported it `load_age_ms` ago; 1 is its full memory bandwidth.
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
    /// Age of the load report, in milliseconds; set by the registry.
    #[serde(default)]
    pub load_age_ms: u64,
}

/// Response of `GET /v1/backends`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendListing {
    /// Every backend that is visible in the list.
    pub backends: Vec<BackendRecord>,
}
