//! Who the caller is.

use std::sync::Arc;

use millford_api::config::Tenant;
use millford_core::{ResultCode, hash_tenant_key};
use millford_data_plane::proxy_state::ProxyState;
use millford_routing::RoutingTable;

use crate::request::caller::CallerHeaders;
use crate::request::refusal::Refusal;

const BEARER_SCHEME: &str = "bearer";

/// Refuses while the proxy leaves or shows no confirmed configuration.
pub fn check_open(state: &ProxyState) -> Result<(), Refusal> {
    if state.is_draining() {
        return Err(Refusal::not_run(ResultCode::ProxyDraining));
    }
    if !state.is_ready() {
        return Err(Refusal::not_run(ResultCode::NotReady));
    }
    Ok(())
}

/// Finds the tenant by the hash of its key. The key itself goes no further than this function.
pub fn authenticate(table: &RoutingTable, headers: &CallerHeaders) -> Result<Arc<Tenant>, Refusal> {
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
