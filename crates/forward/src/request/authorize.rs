//! Authenticates the caller by its tenant key.

use std::sync::Arc;

use millford_api::config::{ForwardRoute, Tenant};
use millford_core::{ResultCode, hash_tenant_key};
use millford_routing::RoutingTable;

use crate::protocol::RequestFacts;
use crate::request::refusal::Refusal;

/// Returns the tenant that the request's key belongs to. Returns `None` if the configuration has no list of tenants, or
/// if the route is public and the request has no known key.
///
/// The key is compared by its hash only, and is not used after this function.
///
/// # Errors
/// Refuses a missing, unknown or revoked key.
pub fn authorize(
    table: &RoutingTable,
    route: &ForwardRoute,
    facts: &RequestFacts,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    if !table.has_tenant_list() {
        return Ok(None);
    }
    let key = facts.tenant_key.as_deref();
    let tenant = key.and_then(|key| table.tenant_of_key_hash(&hash_tenant_key(key)));
    match (tenant, key) {
        (Some(tenant), _) => Ok(Some(Arc::clone(tenant))),
        (None, _) if route.public => Ok(None),
        (None, Some(_)) => Err(Refusal::new(ResultCode::KeyUnknown)),
        (None, None) => Err(Refusal::new(ResultCode::KeyMissing)),
    }
}
