//! Checks of routes.

use std::collections::BTreeMap;

use millford_api::config::{Pool, Resume, Route, RouteMatch, Selector};

use super::super::limits;
use super::fault_list::{FaultList, Unit};
use super::names::{UniqueNames, check_label};

/// Properties by which a route matches requests. An absent match is the same as an empty one.
#[derive(Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct MatchKey<'document> {
    model: &'document str,
    version: &'document str,
    stage: &'document str,
    adapter: &'document str,
    path_prefix: &'document str,
}

impl<'document> From<&'document RouteMatch> for MatchKey<'document> {
    fn from(route_match: &'document RouteMatch) -> Self {
        Self {
            model: &route_match.model,
            version: &route_match.version,
            stage: &route_match.stage,
            adapter: &route_match.adapter,
            path_prefix: &route_match.path_prefix,
        }
    }
}

/// Checks each route, its uniqueness among the others, and its reference to a pool.
pub(super) fn check_routes(
    routes: &[Route],
    pools: &BTreeMap<&str, &Pool>,
    faults: &mut FaultList,
) {
    faults.check_count("routes", routes.len(), limits::MAX_ROUTES);
    let mut names = UniqueNames::default();
    let mut index_by_match = BTreeMap::new();
    for (index, route) in routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        names.check(format!("{path}.name"), &route.name, faults);
        check_match(&path, route.r#match.as_ref(), faults);
        check_reachable(&path, index, route, &mut index_by_match, faults);
        check_pool_reference(&path, route, pools, faults);
        check_times(&path, route, faults);
        check_redispatch(&path, route, faults);
    }
}

fn check_match(path: &str, route_match: Option<&RouteMatch>, faults: &mut FaultList) {
    let Some(route_match) = route_match else {
        return;
    };
    let labels = [
        ("model", &route_match.model),
        ("version", &route_match.version),
        ("stage", &route_match.stage),
        ("adapter", &route_match.adapter),
    ];
    let is_lookup = !route_match.path_prefix.is_empty();
    for (field, label) in labels {
        let field_path = format!("{path}.match.{field}");
        if is_lookup && !label.is_empty() {
            faults.add(
                field_path,
                format!("a route with a path prefix must not match by {field}"),
            );
        } else {
            check_label(field_path, label, faults);
        }
    }
    if is_lookup {
        check_path_prefix(path, &route_match.path_prefix, faults);
    }
}

fn check_path_prefix(path: &str, prefix: &str, faults: &mut FaultList) {
    let field_path = format!("{path}.match.path_prefix");
    if !prefix.starts_with('/') {
        faults.add(field_path, "the path prefix must begin with '/'");
    } else if prefix.len() > limits::MAX_PATH_LENGTH {
        let text = format!(
            "the path prefix is longer than {} bytes",
            limits::MAX_PATH_LENGTH
        );
        faults.add(field_path, text);
    } else if !prefix.bytes().all(is_path_byte) {
        faults.add(
            field_path,
            "a path prefix may contain only visible ASCII characters, and neither '?' nor '#'",
        );
    } else if limits::RESERVED_PATHS.contains(&prefix) {
        faults.add(field_path, "the proxy serves this path itself");
    }
}

/// Checks that no earlier route has the same match: the later one would never be reached.
fn check_reachable<'document>(
    path: &str,
    index: usize,
    route: &'document Route,
    index_by_match: &mut BTreeMap<MatchKey<'document>, usize>,
    faults: &mut FaultList,
) {
    let key = route
        .r#match
        .as_ref()
        .map(MatchKey::from)
        .unwrap_or_default();
    match index_by_match.get(&key) {
        Some(first) => faults.add(
            format!("{path}.match"),
            format!("the route is never reached: routes[{first}] has the same match"),
        ),
        None => {
            index_by_match.insert(key, index);
        }
    }
}

fn check_pool_reference(
    path: &str,
    route: &Route,
    pools: &BTreeMap<&str, &Pool>,
    faults: &mut FaultList,
) {
    let field_path = format!("{path}.pool");
    if route.pool.is_empty() {
        faults.add(field_path, "a route must name a pool");
        return;
    }
    let Some(pool) = pools.get(route.pool.as_str()) else {
        faults.add(field_path, format!("no pool is named \"{}\"", route.pool));
        return;
    };
    let (Some(route_match), Some(selector)) = (route.r#match.as_ref(), pool.selector.as_ref())
    else {
        return;
    };
    check_selector_match(&field_path, route_match, selector, faults);
}

/// Checks that the pool does not select a different model, version or stage than the route matches:
/// such a route could never be served.
fn check_selector_match(
    path: &str,
    route_match: &RouteMatch,
    selector: &Selector,
    faults: &mut FaultList,
) {
    let pairs = [
        ("model", &route_match.model, &selector.model),
        ("version", &route_match.version, &selector.version),
        ("stage", &route_match.stage, &selector.stage),
    ];
    for (field, matched, selected) in pairs {
        if !matched.is_empty() && !selected.is_empty() && matched != selected {
            let text = format!(
                "the pool selects {field} \"{selected}\", but the route matches \"{matched}\""
            );
            faults.add(path, text);
        }
    }
}

fn check_times(path: &str, route: &Route, faults: &mut FaultList) {
    let deadline_path = format!("{path}.deadline_ms");
    faults.check_range(
        deadline_path,
        route.deadline_ms,
        &limits::DEADLINE_MS,
        Unit::Milliseconds,
    );
    let Some(hedge) = &route.hedge else {
        return;
    };
    let delay_path = format!("{path}.hedge.delay_ms");
    if limits::HEDGE_DELAY_MS.contains(&hedge.delay_ms) && hedge.delay_ms >= route.deadline_ms {
        faults.add(
            delay_path,
            "the hedge delay must be shorter than the deadline",
        );
    } else {
        faults.check_range(
            delay_path,
            hedge.delay_ms,
            &limits::HEDGE_DELAY_MS,
            Unit::Milliseconds,
        );
    }
}

/// Checks that a route that is not repeatable is neither hedged nor resumed on another backend,
/// because its requests are dispatched at most once.
fn check_redispatch(path: &str, route: &Route, faults: &mut FaultList) {
    if route.hedge.is_some() && !route.repeatable {
        let text = "a route that is not repeatable cannot be hedged";
        faults.add(format!("{path}.hedge"), text);
    }
    if route.resume() == Resume::Never {
        return;
    }
    if is_lookup(route) {
        let text = "a lookup route has no streams and cannot be resumed";
        faults.add(format!("{path}.resume"), text);
    } else if !route.repeatable {
        let text = "a route that is not repeatable cannot be resumed on another backend";
        faults.add(format!("{path}.resume"), text);
    }
}

fn is_lookup(route: &Route) -> bool {
    let route_match = route.r#match.as_ref();
    route_match.is_some_and(|found| !found.path_prefix.is_empty())
}

fn is_path_byte(byte: u8) -> bool {
    byte.is_ascii_graphic() && byte != b'?' && byte != b'#'
}
