//! Forwarding routes in the operators' document.

use crate::fixtures::valid_document;
use millford_api::config::Document;
use millford_api::config::{ForwardRoute, HttpLimits, TokenQuota, WeightedPool};
use millford_api::state::StateValue;
use millford_control_state::document::{self, check};

fn route(name: &str, prefix: &str) -> ForwardRoute {
    ForwardRoute {
        name: name.to_owned(),
        host: "api.example".to_owned(),
        path_prefix: prefix.to_owned(),
        pools: vec![WeightedPool {
            pool: valid_document().pools[0].name.clone(),
            weight: 1,
        }],
        timeout_ms: 1000,
        ..ForwardRoute::default()
    }
}

fn with_routes(routes: Vec<ForwardRoute>) -> Document {
    Document {
        forward_routes: routes,
        ..valid_document()
    }
}

#[test]
fn valid_routes_round_trip_through_items_and_json() {
    let mut document = with_routes(vec![route("b", "/b/"), route("a", "/")]);
    document.http_limits = Some(HttpLimits {
        max_header_bytes: 1,
        max_body_bytes: 2,
        header_timeout_ms: 3,
        idle_timeout_ms: 4,
    });
    document.tenants[0].quota = None;
    document.tenants[0].token_quota = Some(TokenQuota::default());
    assert_eq!(check(&document), []);
    let items = document::items(&document);
    let values: Vec<StateValue> = items
        .into_values()
        .map(|kind| StateValue { kind: Some(kind) })
        .collect();
    let back = document::document_of(&values);
    assert_eq!(back, document::normalized(&document));
    let json = document::canonical_json(&document);
    assert_eq!(document::parse(&json).expect("canonical JSON"), back);
}

/// A change that makes a document invalid.
type Change = fn(&mut Document);

/// Returns the path of each violation with the change that causes it.
fn violations() -> [(&'static str, Change); 12] {
    [
        ("forward_routes[0].name", |document| {
            document.forward_routes[0].name.clear();
        }),
        ("forward_routes[1].name", |document| {
            "a".clone_into(&mut document.forward_routes[1].name);
        }),
        ("forward_routes[0].host", |document| {
            document.forward_routes[0].host.clear();
        }),
        ("forward_routes[0].path_prefix", |document| {
            "a/".clone_into(&mut document.forward_routes[0].path_prefix);
        }),
        ("forward_routes[1].path_prefix", |document| {
            "/a/".clone_into(&mut document.forward_routes[1].path_prefix);
        }),
        ("forward_routes[0].pools[0].pool", |document| {
            "none".clone_into(&mut document.forward_routes[0].pools[0].pool);
        }),
        ("forward_routes[0].pools", |document| {
            document.forward_routes[0].pools[0].weight = 0;
        }),
        ("forward_routes[0].pools", |document| {
            document.forward_routes[0].pools.clear();
        }),
        ("forward_routes[0].timeout_ms", |document| {
            document.forward_routes[0].timeout_ms = 0;
        }),
        ("forward_routes[0].resumable", |document| {
            document.forward_routes[0].resumable = true;
        }),
        ("http_limits.max_body_bytes", |document| {
            document.http_limits = Some(HttpLimits {
                max_header_bytes: 1,
                max_body_bytes: 0,
                header_timeout_ms: 1,
                idle_timeout_ms: 1,
            });
        }),
        ("tenants[0].quota", |document| {
            document.tenants[0].quota = None;
        }),
    ]
}

#[test]
fn each_violation_is_reported_with_its_path() {
    for (path, violate) in violations() {
        let mut document = with_routes(vec![route("a", "/a/"), route("b", "/b/")]);
        assert_eq!(check(&document), []);
        violate(&mut document);
        let faults = check(&document);
        assert!(
            faults.iter().any(|fault| fault.path == path),
            "{path}: {faults:?}"
        );
    }
}
