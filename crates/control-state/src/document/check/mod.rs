//! Checks of the rules that a document must satisfy to be accepted. All violations are reported at
//! once.

mod fault_list;
mod forward_route;
mod names;
mod pool;
mod route;
mod tenant;

use std::collections::BTreeMap;

use millford_api::config::{Document, Pool};

use self::fault_list::FaultList;
use super::fault::Fault;

/// Returns all faults of the document, in the order of routes, forwarding routes, HTTP limits,
/// pools and tenants; empty when the document is valid.
#[must_use]
pub fn check(document: &Document) -> Vec<Fault> {
    let mut faults = FaultList::default();
    let pools: BTreeMap<&str, &Pool> = document
        .pools
        .iter()
        .map(|pool| (pool.name.as_str(), pool))
        .collect();
    route::check_routes(&document.routes, &pools, &mut faults);
    forward_route::check_forward_routes(&document.forward_routes, &pools, &mut faults);
    forward_route::check_http_limits(document.http_limits.as_ref(), &mut faults);
    pool::check_pools(&document.pools, &mut faults);
    tenant::check_tenants(&document.tenants, &mut faults);
    faults.into_faults()
}
