//! Options of one emulated backend.

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

/// Identity, addresses, hardware and models of one emulated backend.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Identity in the registry and in the execution log.
    pub id: String,
    /// Address to listen on; port 0 picks a free one.
    pub address: SocketAddr,
    /// Zone that the backend reports to the registry.
    pub zone: String,
    /// Whether it serves completions or lookups.
    pub kind: BackendKind,
    /// Models that the backend loads and declares to the registry; with none, it does not check model names.
    pub declarations: Vec<DeclarationRecord>,
    /// Number of processor cores in the cost model.
    pub cores: u32,
    /// Memory bandwidth in the cost model, in GB/s.
    pub bandwidth_gbps: f64,
    /// Address of the registry; absent for a backend that does not register.
    pub registry: Option<SocketAddr>,
    /// File that executions are appended to; absent to keep them in memory only.
    pub execution_log: Option<PathBuf>,
    /// Factor on the speed of the cost model, which divides its durations; 1 is normal.
    pub speed: f64,
}

impl BackendOptions {
    /// Returns options of a backend on a free loopback port, without registry, execution log or declarations.
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
