//! One backend as the registry lists it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What the platform intends with a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegistryState {
    /// In service.
    Active,
    /// Being retired: no new work.
    Draining,
}

/// One model that a backend serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationRecord {
    /// Model name.
    pub model: String,
    /// Snapshot of the model.
    pub version: String,
    /// Stage, for instance `serve`.
    pub stage: String,
    /// Adapters that are loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// One backend as the registry lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Identity; a replacement has a new one.
    pub id: String,
    /// IP address and port.
    pub address: String,
    /// Zone of the machine.
    pub zone: String,
    /// Processor cores.
    pub cores: u32,
    /// Memory bandwidth, in GB/s.
    pub bandwidth_gbps: f64,
    /// What the platform intends with it.
    pub state: RegistryState,
    /// Models served.
    pub declarations: Vec<DeclarationRecord>,
    /// Reported load per model; old by `load_age_ms`.
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
    /// Age of the load report, in milliseconds.
    #[serde(default)]
    pub load_age_ms: u64,
}

/// Response of `GET /v1/backends`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendListing {
    /// Every backend that the registry knows.
    pub backends: Vec<BackendRecord>,
}
