//! The operators' document of a run.

use millford_api::config::{Document, Pool, Quota, Route, RouteMatch, Selector, Tenant};
use sha2::{Digest, Sha256};

use crate::size::FleetSize;

/// Models in steady use at the planned size; each has a pool and a route.
pub const MODELS: u32 = 6;

/// Name of a model, its pool and its route.
#[must_use]
pub fn model_name(model: u32) -> String {
    format!("model-{model}")
}

/// Name of a tenant.
#[must_use]
pub fn tenant_name(tenant: u32) -> String {
    format!("tenant-{tenant:05}")
}

/// Identity of a backend, and the model that it serves.
#[must_use]
pub fn backend_name(backend: u32) -> String {
    format!("backend-{backend:04}")
}

/// The document for a size; `change` counts the changes made to it so far.
///
/// Each change gives one tenant another quota, as most changes of a day do.
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
    // Each change raises the quota of the tenant with its number for good.
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
