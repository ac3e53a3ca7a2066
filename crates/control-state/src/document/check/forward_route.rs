//! Checks of forwarding routes and of the HTTP limits.

use std::collections::BTreeMap;

use millford_api::config::{ForwardRoute, HttpLimits, Pool};

use super::super::limits;
use super::fault_list::FaultList;
use super::names::UniqueNames;

/// Host, in lower case, and path prefix by which a forwarding route matches requests.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RouteLocation<'document> {
    host: String,
    path_prefix: &'document str,
}

/// Checks each forwarding route, its uniqueness among the others, and its references to pools.
pub(super) fn check_forward_routes(
    routes: &[ForwardRoute],
    pools: &BTreeMap<&str, &Pool>,
    faults: &mut FaultList,
) {
    faults.check_count("forward_routes", routes.len(), limits::MAX_FORWARD_ROUTES);
    let mut names = UniqueNames::default();
    let mut index_by_location: BTreeMap<RouteLocation<'_>, usize> = BTreeMap::new();
    for (index, route) in routes.iter().enumerate() {
        let path = format!("forward_routes[{index}]");
        names.check(format!("{path}.name"), &route.name, faults);
        check_prefix(&path, route, faults);
        let location = RouteLocation {
            host: route.host.to_ascii_lowercase(),
            path_prefix: &route.path_prefix,
        };
        if let Some(first) = index_by_location.get(&location) {
            let text = format!("forward_routes[{first}] has the same host and path prefix");
            faults.add(format!("{path}.path_prefix"), text);
        } else {
            index_by_location.insert(location, index);
        }
        check_weighted_pools(&path, route, pools, faults);
        check_timeout_and_resume(&path, route, faults);
    }
}

/// Checks the limits of callers' HTTP connections.
pub(super) fn check_http_limits(limits: Option<&HttpLimits>, faults: &mut FaultList) {
    let Some(limits) = limits else {
        return;
    };
    let fields = [
        ("max_header_bytes", u64::from(limits.max_header_bytes)),
        ("max_body_bytes", limits.max_body_bytes),
        ("header_timeout_ms", u64::from(limits.header_timeout_ms)),
        ("idle_timeout_ms", u64::from(limits.idle_timeout_ms)),
    ];
    for (field, value) in fields {
        if value == 0 {
            faults.add(format!("http_limits.{field}"), "must be above 0");
        }
    }
}

fn check_prefix(path: &str, route: &ForwardRoute, faults: &mut FaultList) {
    if route.host.is_empty() {
        faults.add(format!("{path}.host"), "the host is empty");
    }
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let text = "the path prefix must begin and end with '/'";
        faults.add(format!("{path}.path_prefix"), text);
    }
}

fn check_weighted_pools(
    path: &str,
    route: &ForwardRoute,
    pools: &BTreeMap<&str, &Pool>,
    faults: &mut FaultList,
) {
    let field = format!("{path}.pools");
    faults.check_count(
        field.clone(),
        route.pools.len(),
        limits::MAX_POOLS_PER_ROUTE,
    );
    for (index, weighted) in route.pools.iter().enumerate() {
        if !pools.contains_key(weighted.pool.as_str()) {
            let text = format!("no pool is named \"{}\"", weighted.pool);
            faults.add(format!("{field}[{index}].pool"), text);
        }
    }
    let total: u64 = route
        .pools
        .iter()
        .map(|weighted| u64::from(weighted.weight))
        .sum();
    if total == 0 {
        faults.add(field, "the weights add up to 0");
    }
}

fn check_timeout_and_resume(path: &str, route: &ForwardRoute, faults: &mut FaultList) {
    if route.timeout_ms == 0 {
        faults.add(format!("{path}.timeout_ms"), "must be above 0");
    }
    if route.resumable && !route.stream {
        let text = "only a stream can be resumed";
        faults.add(format!("{path}.resumable"), text);
    }
}
