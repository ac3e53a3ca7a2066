//! Registers an emulated backend and reports its load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;

use super::state::BackendState;
use crate::caller::http_client::send_json;
use crate::registry::record::{BackendRecord, RegistryState};

/// Interval of registrations, which also report the load.
const REGISTRATION_PERIOD: Duration = Duration::from_millis(500);

/// Renews the registration of the backend periodically. Never returns.
pub async fn keep_registered(state: Arc<BackendState>, registry: SocketAddr, address: SocketAddr) {
    let path = format!("/v1/backends/{}", state.options.id);
    loop {
        let record = record(&state, address);
        // A failed registration is retried after the interval.
        let _ = send_json(registry, Method::PUT, &path, &record).await;
        tokio::time::sleep(REGISTRATION_PERIOD).await;
    }
}

/// Removes the backend from the registry; errors are ignored.
pub async fn deregister(state: &BackendState, registry: SocketAddr) {
    let path = format!("/v1/backends/{}", state.options.id);
    let _ = send_json(registry, Method::DELETE, &path, &()).await;
}

fn record(state: &BackendState, address: SocketAddr) -> BackendRecord {
    let options = &state.options;
    let mut load = BTreeMap::new();
    for declaration in &options.declarations {
        load.insert(declaration.model.clone(), state.engine.load());
    }
    BackendRecord {
        id: options.id.clone(),
        address: address.to_string(),
        zone: options.zone.clone(),
        cores: options.cores,
        bandwidth_gbps: options.bandwidth_gbps,
        state: RegistryState::Active,
        declarations: options.declarations.clone(),
        load,
        load_age_ms: 0,
    }
}
