//! Checks of documents: all faults are reported at once, each with its path.

use crate::fixtures::{pool, quota, route, tenant, valid_document};
use millford_api::config::{Document, Hedge, Resume, RouteMatch};
use millford_control_state::document::{self, Fault, limits};
use millford_core::ResultCode::DocumentInvalid;

/// Returns the paths of the faults.
fn paths(faults: &[Fault]) -> Vec<&str> {
    faults.iter().map(|fault| fault.path.as_str()).collect()
}

/// Asserts that a change of the valid document causes exactly one fault, at `path`.
fn assert_invalid(path: &str, change: impl FnOnce(&mut Document)) {
    let mut changed = valid_document();
    change(&mut changed);
    let faults = document::check(&changed);
    assert_eq!(paths(&faults), [path], "{faults:?}");
    assert_eq!(faults[0].code, DocumentInvalid);
    assert!(!faults[0].text.is_empty());
}

#[test]
fn a_valid_document_has_no_fault() {
    assert_eq!(document::check(&valid_document()), []);
}

#[test]
fn names_are_checked() {
    assert_invalid("routes[0].name", |document| document.routes[0].name.clear());
    assert_invalid("routes[1].name", |document| {
        document.routes[1].name = "captions".to_owned();
    });
    assert_invalid("pools[2].name", |document| {
        document.pools.push(pool("saga"));
    });
    assert_invalid("tenants[2].name", |document| {
        let mut twice = tenant("library");
        twice.key_hashes.clear();
        document.tenants.push(twice);
    });
    assert_invalid("routes[0].name", |document| {
        document.routes[0].name = "a/b".to_owned();
    });
    assert_invalid("tenants[0].name", |document| {
        document.tenants[0].name = "-library".to_owned();
    });
    assert_invalid("tenants[0].name", |document| {
        document.tenants[0].name = "bókasafn".to_owned();
    });
    assert_invalid("routes[0].name", |document| {
        document.routes[0].name = "x".repeat(limits::MAX_NAME_LENGTH + 1);
    });
}

#[test]
fn references_to_pools_are_checked() {
    assert_invalid("routes[0].pool", |document| {
        document.routes[0].pool = "nowhere".to_owned();
    });
    assert_invalid("routes[0].pool", |document| document.routes[0].pool.clear());
    assert_invalid("routes[0].pool", |document| {
        document.routes[0].pool = "pool-edda".to_owned();
    });
}

#[test]
fn ranges_of_routes_are_checked() {
    for deadline in [0, 99, 3_600_001] {
        assert_invalid("routes[0].deadline_ms", |document| {
            document.routes[0].deadline_ms = deadline;
        });
    }
    for delay in [0, 9, 60_001, 30_000] {
        assert_invalid("routes[0].hedge.delay_ms", |document| {
            document.routes[0].hedge = Some(Hedge { delay_ms: delay });
        });
    }
}

#[test]
fn ranges_of_pools_are_checked() {
    assert_invalid("pools[0].drain_ms", |document| {
        document.pools[0].drain_ms = 60_001;
    });
    assert_invalid("pools[0].bandwidth_ceiling_percent", |document| {
        document.pools[0].bandwidth_ceiling_percent = 101;
    });
    assert_invalid("pools[1].transition_budget_percent", |document| {
        document.pools[1].transition_budget_percent = 200;
    });
    assert_invalid("pools[0].longest_deferral_ms", |document| {
        document.pools[0].longest_deferral_ms = 86_400_001;
    });
    assert_invalid("pools[0].target_version", |document| {
        let selector = document.pools[0].selector.get_or_insert_default();
        selector.version = "1".to_owned();
        document.pools[0].target_version = "2".to_owned();
    });
    assert_invalid("pools[0].selector.adapters[1]", |document| {
        let selector = document.pools[0].selector.get_or_insert_default();
        selector.adapters = vec!["captions".to_owned(), String::new()];
    });
    assert_invalid("pools[0].selector.stage", |document| {
        let selector = document.pools[0].selector.get_or_insert_default();
        selector.stage = "a b".to_owned();
    });
}

#[test]
fn keys_are_checked() {
    assert_invalid("tenants[0].key_hashes[0]", |document| {
        document.tenants[0].key_hashes[0] = "abc".to_owned();
    });
    assert_invalid("tenants[0].key_hashes[0]", |document| {
        let upper = document.tenants[0].key_hashes[0].to_uppercase();
        document.tenants[0].key_hashes[0] = upper;
    });
    assert_invalid("tenants[1].key_hashes[0]", |document| {
        document.tenants[1].key_hashes = document.tenants[0].key_hashes.clone();
    });
    assert_invalid("tenants[0].key_hashes", |document| {
        let hash = |number| millford_core::hash_tenant_key(&format!("{number}"));
        document.tenants[0].key_hashes = (0..17).map(hash).collect();
    });
}

#[test]
fn quotas_are_checked() {
    assert_invalid("tenants[0].quota", |document| {
        document.tenants[0].quota = None;
    });
    let wrong = [
        ("requests_per_second", quota(0, 20, 4)),
        ("burst", quota(10, 0, 4)),
        ("requests_per_second", quota(1_000_001, 20, 4)),
        ("concurrent_streams", quota(10, 20, 1_000_001)),
    ];
    for (field, quota) in wrong {
        assert_invalid(&format!("tenants[0].quota.{field}"), |document| {
            document.tenants[0].quota = Some(quota);
        });
    }
}

#[test]
fn a_route_that_is_not_repeatable_is_neither_hedged_nor_resumed() {
    assert_invalid("routes[0].hedge", |document| {
        document.routes[0].repeatable = false;
        document.routes[0].hedge = Some(Hedge { delay_ms: 500 });
    });
    for resume in [Resume::FromStart, Resume::Continue] {
        assert_invalid("routes[0].resume", |document| {
            document.routes[0].repeatable = false;
            document.routes[0].resume = resume.into();
        });
    }
}

#[test]
fn lookup_routes_are_checked() {
    let lookup = |path_prefix: &str, model: &str| {
        Some(RouteMatch {
            path_prefix: path_prefix.to_owned(),
            model: model.to_owned(),
            ..RouteMatch::default()
        })
    };
    assert_invalid("routes[0].match.model", |document| {
        document.routes[0].r#match = lookup("/entries/", "saga");
    });
    assert_invalid("routes[0].resume", |document| {
        document.routes[0].r#match = lookup("/entries/", "");
        document.routes[0].resume = Resume::FromStart.into();
    });
    for wrong in [
        "entries",
        "/a b",
        "/a?b",
        "/metrics",
        "/v1/chat/completions",
    ] {
        assert_invalid("routes[0].match.path_prefix", |document| {
            document.routes[0].r#match = lookup(wrong, "");
        });
    }
}

#[test]
fn a_route_that_is_never_reached_is_reported() {
    assert_invalid("routes[2].match", |document| {
        document.routes.push(route("again", "saga"));
    });
    assert_invalid("routes[3].match", |document| {
        let mut first = route("all", "saga");
        first.r#match = None;
        let mut second = first.clone();
        second.name = "all-again".to_owned();
        second.r#match = Some(RouteMatch::default());
        document.routes.extend([first, second]);
    });
}

#[test]
fn all_faults_are_found_at_once() {
    let mut document = valid_document();
    document.routes[0].deadline_ms = 1;
    document.routes[1].pool = "nowhere".to_owned();
    document.pools[1].drain_ms = 99_999;
    document.tenants[0].quota = None;
    let faults = document::check(&document);
    let expected = [
        "routes[0].deadline_ms",
        "routes[1].pool",
        "pools[1].drain_ms",
        "tenants[0].quota",
    ];
    assert_eq!(paths(&faults), expected);
}
