//! Who the caller is.

use std::sync::Arc;

use millford_api::config::{ForwardRoute, Tenant};
use millford_core::{ResultCode, hash_tenant_key};
use millford_routing::RoutingTable;

use crate::protocol::RequestFacts;
use crate::request::refusal::Refusal;

/// The tenant that holds the request's key; none where no key is needed.
///
/// The key itself goes no further than this function.
///
/// # Errors
/// A missing, unknown or revoked key.
pub fn authorize(
    table: &RoutingTable,
    route: &ForwardRoute,
    facts: &RequestFacts,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    if !table.has_tenants() {
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
