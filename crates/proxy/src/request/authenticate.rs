//! Who the caller is.

use std::sync::Arc;

use millford_api::config::Tenant;
use millford_core::{ResultCode, hash_tenant_key};
use millford_data_plane::proxy_state::ProxyState;
use millford_routing::RoutingTable;

use crate::request::caller::CallerHeaders;
use crate::request::refusal::Refusal;

const BEARER_SCHEME: &str = "bearer";

/// A caller whose key is known, and the routing table that knows it.
#[derive(Clone, Debug)]
pub struct AuthenticatedCaller {
    /// The table that decides the request's route.
    pub table: Arc<RoutingTable>,
    /// The caller's tenant.
    pub tenant: Arc<Tenant>,
}

/// Finds the tenant by the hash of its key. The key itself goes no further than this module.
///
/// # Errors
/// Refuses while the proxy drains or has no confirmed configuration, and a caller without a known
/// key.
pub fn authenticate(
    state: &ProxyState,
    headers: &CallerHeaders,
) -> Result<AuthenticatedCaller, Refusal> {
    check_open(state)?;
    let table = state.table();
    let tenant = find_tenant(&table, headers)?;
    Ok(AuthenticatedCaller { table, tenant })
}

fn check_open(state: &ProxyState) -> Result<(), Refusal> {
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
