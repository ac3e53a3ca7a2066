//! Generated configuration document of a run.

use millford_api::config::{Document, Pool, Quota, Route, RouteMatch, Selector, Tenant};
use sha2::{Digest, Sha256};

use crate::size::FleetSize;

/// Number of models in steady use at the planned size; each has its own pool and route.
pub const MODELS: u32 = 6;

/// Returns the name shared by a model, its pool and its route.
#[must_use]
pub fn model_name(model: u32) -> String {
    format!("model-{model}")
}

/// Returns the name of the tenant with this number.
#[must_use]
pub fn tenant_name(tenant: u32) -> String {
    format!("tenant-{tenant:05}")
}

/// Returns the identity of the backend with this number.
#[must_use]
pub fn backend_name(backend: u32) -> String {
    format!("backend-{backend:04}")
}

/// Builds the configuration for a size after `change` changes.
///
/// Each change alters the quota of one tenant, which is the most common change in daily operation.
#[must_use]
pub fn document(size: FleetSize, change: u32) -> Document {
    Document {
        routes: (0..MODELS).map(route).collect(),
        pools: (0..MODELS).map(pool).collect(),
        tenants: (0..size.tenants)
            .map(|number| tenant(number, change))
            .collect(),
        ..Default::default()
    }
}

fn route(model: u32) -> Route {
    Route {
        name: model_name(model),
        r#match: Some(RouteMatch {
            model: model_name(model),
            ..RouteMatch::default()
        }),
        pool: model_name(model),
        repeatable: true,
        deadline_ms: 60_000,
        ..Route::default()
    }
}

fn pool(model: u32) -> Pool {
    Pool {
        name: model_name(model),
        selector: Some(Selector {
            model: model_name(model),
            ..Selector::default()
        }),
        drain_ms: 3_000,
        ..Pool::default()
    }
}

fn tenant(number: u32, change: u32) -> Tenant {
    let name = tenant_name(number);
    // Each change permanently raises the quota of one more tenant, in order of their numbers.
    let raised = u32::from(number < change);
    Tenant {
        key_hashes: vec![hex::encode(Sha256::digest(name.as_bytes()))],
        name,
        quota: Some(Quota {
            requests_per_second: 200 + raised,
            burst: 400,
            concurrent_streams: 2_000,
        }),
        ..Default::default()
    }
}
