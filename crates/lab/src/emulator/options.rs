//! What one emulated backend is.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::registry::record::DeclarationRecord;

/// Kind of work that a backend does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// Chat completions of language models.
    Model,
    /// Short lookups by path.
    Lookup,
}

/// What one emulated backend is.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Identity in the registry.
    pub id: String,
    /// Address to listen on; port 0 picks a free one.
    pub address: SocketAddr,
    /// Zone that the backend names to the registry.
    pub zone: String,
    /// Kind of work.
    pub kind: BackendKind,
    /// What the backend declares to the registry.
    pub declarations: Vec<DeclarationRecord>,
    /// Processor cores.
    pub cores: u32,
    /// Memory bandwidth, in GB/s.
    pub bandwidth_gbps: f64,
    /// Where to register; absent for a backend that stands alone.
    pub registry: Option<SocketAddr>,
    /// File that every execution is appended to.
    pub execution_log: Option<PathBuf>,
    /// Divides every duration of the cost model.
    pub speed: f64,
}

impl BackendOptions {
    /// A backend of `kind` on a free loopback port that stands alone.
    #[must_use]
    pub fn standalone(id: &str, kind: BackendKind) -> Self {
        Self {
            id: id.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            zone: "zone-a".to_owned(),
            kind,
            declarations: Vec::new(),
            cores: 16,
            bandwidth_gbps: 200.0,
            registry: None,
            execution_log: None,
            speed: 1.0,
        }
    }
}
