//! Fixtures for the routing tests.

#![allow(dead_code, reason = "each test binary uses only some of the fixtures")]

use millford_api::state::StateValue;
use millford_api::state::state_value::Kind;
use millford_routing::{ReplicaKey, RoutingTable};

/// Returns the key of version 1 of a model on a backend of the pool `models`.
pub(crate) fn replica_key(backend: &str, model: &str) -> ReplicaKey {
    ReplicaKey {
        pool: "models".to_owned(),
        backend_id: backend.to_owned(),
        model: model.to_owned(),
        version: "1".to_owned(),
    }
}

/// Builds the routing table of these feed items.
pub(crate) fn routing_table(items: Vec<(String, Kind)>) -> RoutingTable {
    let items: Vec<(String, StateValue)> = items
        .into_iter()
        .map(|(key, kind)| (key, StateValue { kind: Some(kind) }))
        .collect();
    RoutingTable::build(items.iter().map(|(key, value)| (key.as_str(), value)))
}
