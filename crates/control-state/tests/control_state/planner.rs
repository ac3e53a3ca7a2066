//! Plans contain all effects of a configuration change and no others.

use crate::fixtures::{backend, order, pool, quota, route, tenant, valid_document};
use millford_api::config::Document;
use millford_api::operator::{ChangeKind, Plan};
use millford_api::state::BackendState;
use millford_control_state::planner::{PlanCatalogue, plan, sample_sessions};
use millford_control_state::{ShardMachine, document};
use millford_core::ShardId;
use quickcheck::quickcheck;

fn catalogue(backends: usize) -> PlanCatalogue {
    let mut catalogue = PlanCatalogue::default();
    for number in 0..backends {
        catalogue.add_backend(backend(&format!("s{number}"), "saga"));
        catalogue.add_backend(backend(&format!("e{number}"), "edda"));
    }
    catalogue
}

fn plan_to(after: &Document) -> Plan {
    plan(
        &valid_document(),
        after,
        &catalogue(4),
        &sample_sessions(1000),
    )
}

#[test]
fn the_plan_of_an_unchanged_document_is_empty() {
    assert_eq!(plan_to(&valid_document()), Plan::default());
}

#[test]
fn a_changed_route_is_listed_with_its_changed_fields() {
    let mut after = valid_document();
    after.routes[0].deadline_ms = 9_000;
    let moved = plan_to(&after);
    assert_eq!(moved.routes.len(), 1);
    assert_eq!(moved.routes[0].name, "captions");
    assert_eq!(moved.routes[0].change, ChangeKind::Changed);
    assert_eq!(moved.routes[0].fields, ["deadline_ms"]);
    assert_eq!((moved.changed_items, moved.sessions.len()), (1, 0));
    assert!(moved.changed_bytes > 0);
}

#[test]
fn keys_and_quotas_that_change_are_listed_without_complete_hashes() {
    let mut after = valid_document();
    after.tenants[0].key_hashes = tenant("another").key_hashes;
    after.tenants[1].quota = Some(quota(1, 2, 3));
    let moved = plan_to(&after);
    let changes: Vec<ChangeKind> = moved.keys.iter().map(|key| key.change).collect();
    assert_eq!(changes, [ChangeKind::Removed, ChangeKind::Added]);
    assert!(moved.keys.iter().all(|key| key.key_hash_prefix.len() == 8));
    assert_eq!(moved.quotas.len(), 1);
    assert_eq!(moved.quotas[0].after, Some(quota(1, 2, 3)));
}

#[test]
fn a_narrower_selector_removes_replicas_and_moves_only_sessions_of_its_route() {
    let mut catalogue = catalogue(4);
    if let Some(changed) = catalogue.backends.get_mut("s3") {
        changed.declarations[0].version = "2".to_owned();
    }
    let mut before = valid_document();
    before.routes[0].r#match = None;
    let mut after = before.clone();
    let selector = after.pools[0].selector.get_or_insert_default();
    selector.version = "2".to_owned();
    let moved = plan(&before, &after, &catalogue, &sample_sessions(1000));
    let left: Vec<&str> = moved
        .replicas
        .iter()
        .map(|replica| replica.backend_id.as_str())
        .collect();
    assert_eq!(left, ["s0", "s1", "s2"]);
    assert!(
        moved
            .replicas
            .iter()
            .all(|replica| replica.change == ChangeKind::Removed),
        "{moved:?}"
    );
    assert!(
        moved
            .sessions
            .iter()
            .all(|session| session.route == "captions"),
        "{moved:?}"
    );
}

#[test]
fn a_backend_that_leaves_a_pool_moves_only_its_own_sessions() {
    let sessions = sample_sessions(1000);
    let mut split = valid_document();
    split.pools[0].name = "other".to_owned();
    split.routes[0].pool = "other".to_owned();
    let selector = split.pools[0].selector.get_or_insert_default();
    selector.adapters = vec!["captions".to_owned()];
    let mut known = catalogue(4);
    for id in ["s0", "s1", "s2"] {
        let changed = known.backends.get_mut(id).expect("known");
        changed.declarations[0].adapters.push("captions".to_owned());
    }
    let moved = plan(&valid_document(), &split, &known, &sessions);
    assert!(!moved.sessions.is_empty());
    assert!(
        moved.sessions.iter().all(|session| session.from == "s3"),
        "{:?}",
        moved.sessions
    );
    let count: u64 = moved.sessions.iter().map(|session| session.moved).sum();
    assert!(
        (180..=320).contains(&count),
        "about a quarter of the sessions should move: {count}"
    );
}

#[test]
fn likely_mistakes_yield_warnings() {
    let mut after = valid_document();
    after.routes.remove(1);
    after.tenants[0].key_hashes.clear();
    after.pools.push(pool("unserved"));
    after.routes.push(route("unserved", "unserved"));
    let paths: Vec<String> = plan_to(&after)
        .warnings
        .into_iter()
        .map(|warning| warning.path)
        .collect();
    let expected = [
        "routes/questions",
        "pools/pool-unserved",
        "pools/pool-edda",
        "tenants/library",
    ];
    assert_eq!(paths, expected);
}

#[test]
fn draining_backends_are_not_session_homes() {
    let mut known = catalogue(2);
    for backend in known.backends.values_mut() {
        backend.state = BackendState::BackendDraining.into();
    }
    let moved = plan(
        &valid_document(),
        &valid_document(),
        &known,
        &sample_sessions(10),
    );
    assert_eq!(moved.warnings.len(), 2);
    assert!(moved.sessions.is_empty());
}

quickcheck! {
    /// A plan counts the items that the accepted order changes, except the configuration head.
    fn the_plan_counts_the_items_of_the_order(removed: u8, deadline: u32, added: u8) -> bool {
        let mut after = valid_document();
        after.tenants.remove(usize::from(removed) % 2);
        after.routes[0].deadline_ms = deadline;
        for number in 0..added % 5 {
            after.tenants.push(tenant(&format!("new-{number}")));
        }
        let mut machine = ShardMachine::new(ShardId::CONFIGURATION);
        machine.apply(1, 1, &order(0, "a", &valid_document()));
        let applied = machine.apply(2, 1, &order(1, "b", &after));
        let planned = plan_to(&after);
        let present = document::document_of(machine.public_state().values());
        planned.changed_items + 1 == applied.changes.len() as u64
            && present == document::normalized(&after)
    }
}
