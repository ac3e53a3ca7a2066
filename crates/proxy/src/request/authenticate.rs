//! Authenticates a caller by its tenant key.

use std::sync::Arc;

use millford_api::config::Tenant;
use millford_core::{ResultCode, hash_tenant_key};
use millford_data_plane::proxy_state::ProxyState;
use millford_routing::RoutingTable;

use crate::request::caller::CallerHeaders;
use crate::request::refusal::Refusal;

const BEARER_SCHEME: &str = "bearer";

/// Tenant of a caller, with the routing table in which it was found.
#[derive(Clone, Debug)]
pub struct AuthenticatedCaller {
    /// Routing table to use for the whole request.
    pub table: Arc<RoutingTable>,
    /// Tenant that the caller's key belongs to.
    pub tenant: Arc<Tenant>,
}

/// Finds the tenant by the hash of its key. The key itself is not passed on from this module.
///
/// # Errors
/// Refuses all requests while the proxy drains or has no confirmed configuration, and requests
/// without a known key.
pub fn authenticate(
    state: &ProxyState,
    headers: &CallerHeaders,
) -> Result<AuthenticatedCaller, Refusal> {
    check_accepting(state)?;
    let table = state.table();
    let tenant = find_tenant(&table, headers)?;
    Ok(AuthenticatedCaller { table, tenant })
}

fn check_accepting(state: &ProxyState) -> Result<(), Refusal> {
    if state.is_draining() {
        return Err(Refusal::not_run(ResultCode::ProxyDraining));
    }
    if !state.is_ready() {
        return Err(Refusal::not_run(ResultCode::NotReady));
    }
    Ok(())
}

fn find_tenant(table: &RoutingTable, headers: &CallerHeaders) -> Result<Arc<Tenant>, Refusal> {
    let missing = || Refusal::not_run(ResultCode::KeyMissing);
    let authorization = headers.authorization.as_deref().ok_or_else(missing)?;
    let (scheme, key) = authorization.split_once(' ').ok_or_else(missing)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case(BEARER_SCHEME) || key.is_empty() {
        return Err(missing());
    }
    let tenant = table.tenant_of_key_hash(&hash_tenant_key(key));
    tenant
        .cloned()
        .ok_or_else(|| Refusal::not_run(ResultCode::KeyUnknown))
}
