//! Stub of the service registry that runs in the test harness's process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use serde::Serialize;
use tokio::net::TcpListener;
use warp::Filter;

use crate::error::ScaleError;
use crate::rig::document::{MODELS, backend_name, model_name};

#[derive(Serialize)]
struct BackendList {
    backends: Vec<BackendEntry>,
}

#[derive(Serialize)]
struct BackendEntry {
    id: String,
    address: String,
    zone: String,
    cores: u32,
    bandwidth_gbps: f64,
    state: &'static str,
    declarations: Vec<Declaration>,
    load: std::collections::BTreeMap<String, f64>,
    load_age_ms: u64,
}

#[derive(Serialize)]
struct Declaration {
    model: String,
    version: String,
    stage: String,
    adapters: Vec<String>,
}

/// HTTP server that returns a fixed list of backends and counts the reads.
#[derive(Debug)]
pub struct RegistryStub {
    address: SocketAddr,
    reads: Arc<AtomicU64>,
}

impl RegistryStub {
    /// Starts serving a list of `backends` generated backends on a free loopback port.
    ///
    /// # Errors
    /// Fails when no port can be bound or the list cannot be encoded.
    pub async fn start(backends: u32) -> Result<Self, ScaleError> {
        let bound = TcpListener::bind("127.0.0.1:0").await;
        let listener = bound.map_err(ScaleError::system("bind the registry stub's socket"))?;
        let address = listener
            .local_addr()
            .map_err(ScaleError::system("read the registry stub's address"))?;
        let entries = (0..backends).map(entry).collect();
        let text = serde_json::to_vec(&BackendList { backends: entries })?;
        let body = Bytes::from(text);
        let reads = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&reads);
        let list = warp::path!("v1" / "backends")
            .and(warp::get())
            .map(move || {
                counted.fetch_add(1, Ordering::Relaxed);
                warp::reply::with_header(body.to_vec(), "content-type", "application/json")
            });
        tokio::spawn(warp::serve(list).incoming(listener).run());
        Ok(Self { address, reads })
    }

    /// Returns the address that the stub listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of times that the list was read.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }
}

fn entry(number: u32) -> BackendEntry {
    BackendEntry {
        id: backend_name(number),
        address: format!("10.{}.{}.1:9000", number / 250, number % 250),
        zone: format!("zone-{}", number % 9),
        cores: 64,
        bandwidth_gbps: 400.0,
        state: "active",
        declarations: vec![Declaration {
            model: model_name(number % MODELS),
            version: "1".to_owned(),
            stage: String::new(),
            adapters: Vec::new(),
        }],
        load: std::collections::BTreeMap::new(),
        load_age_ms: 0,
    }
}
