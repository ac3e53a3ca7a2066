//! Warnings about changes that are valid but probably unintended.

use std::collections::BTreeMap;

use millford_api::config::{Document, Pool, Route, Tenant};
use millford_api::operator::PlanWarning;
use millford_api::state::BackendState;

use super::catalogue::PlanCatalogue;

/// Returns the warnings about a change, in the order of routes, pools and tenants.
pub(super) fn warnings(
    before: &Document,
    after: &Document,
    catalogue: &PlanCatalogue,
) -> Vec<PlanWarning> {
    let mut warnings = Vec::new();
    warnings.extend(removed_routes(&before.routes, &after.routes));
    warnings.extend(pools_without_backend(after, catalogue));
    warnings.extend(unused_pools(after));
    warnings.extend(tenants_without_key(&before.tenants, &after.tenants));
    warnings
}

fn removed_routes(before: &[Route], after: &[Route]) -> Vec<PlanWarning> {
    let is_retained = |route: &Route| after.iter().any(|other| other.name == route.name);
    before
        .iter()
        .filter(|route| !is_retained(route))
        .map(|route| PlanWarning {
            path: format!("routes/{}", route.name),
            message: "the route is removed; requests that match no other route are refused".into(),
        })
        .collect()
}

fn pools_without_backend(after: &Document, catalogue: &PlanCatalogue) -> Vec<PlanWarning> {
    let routed = |pool: &Pool| after.routes.iter().any(|route| route.pool == pool.name);
    let has_active_backend = |pool: &Pool| {
        let mut members = catalogue.members(pool);
        members.any(|backend| backend.state() == BackendState::BackendActive)
    };
    after
        .pools
        .iter()
        .filter(|pool| routed(pool) && !has_active_backend(pool))
        .map(|pool| PlanWarning {
            path: format!("pools/{}", pool.name),
            message:
                "no active backend matches the selector; the pool's routes cannot be served now"
                    .into(),
        })
        .collect()
}

fn unused_pools(after: &Document) -> Vec<PlanWarning> {
    let routed = |pool: &Pool| after.routes.iter().any(|route| route.pool == pool.name);
    after
        .pools
        .iter()
        .filter(|pool| !routed(pool))
        .map(|pool| PlanWarning {
            path: format!("pools/{}", pool.name),
            message: "no route refers to the pool".into(),
        })
        .collect()
}

fn tenants_without_key(before: &[Tenant], after: &[Tenant]) -> Vec<PlanWarning> {
    let before: BTreeMap<&str, &Tenant> = before
        .iter()
        .map(|tenant| (tenant.name.as_str(), tenant))
        .collect();
    let had_keys = |tenant: &Tenant| {
        let known = before.get(tenant.name.as_str());
        known.is_none_or(|known| !known.key_hashes.is_empty())
    };
    after
        .iter()
        .filter(|tenant| tenant.key_hashes.is_empty() && had_keys(tenant))
        .map(|tenant| PlanWarning {
            path: format!("tenants/{}", tenant.name),
            message: "the tenant has no valid key; all its requests are refused".into(),
        })
        .collect()
}
