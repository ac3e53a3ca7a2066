//! The registry stand-in delays changes and removals by the configured times.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};
use millford_lab::registry::record::{BackendRecord, RegistryState};
use millford_lab::registry::store::{RegistryDelays, RegistryStore};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn record(id: &str) -> BackendRecord {
    BackendRecord {
        id: id.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "zone-1".to_owned(),
        cores: 16,
        bandwidth_gbps: 200.0,
        state: RegistryState::Active,
        declarations: Vec::new(),
        load: BTreeMap::new(),
        load_age_ms: 0,
    }
}

fn store() -> RegistryStore {
    RegistryStore::new(RegistryDelays {
        visible_after: Duration::from_millis(300),
        expire_after: Duration::from_secs(10),
    })
}

fn ids(store: &mut RegistryStore, millis: u64) -> Vec<String> {
    store
        .list(at(millis))
        .backends
        .into_iter()
        .map(|backend| backend.id)
        .collect()
}

#[test]
fn a_new_backend_is_listed_after_a_delay_and_an_unresponsive_one_stays_listed_for_a_while() {
    let mut store = store();
    store.register(at(0), record("a"));
    assert!(ids(&mut store, 299).is_empty());
    assert_eq!(ids(&mut store, 300), ["a"]);
    assert_eq!(ids(&mut store, 9_999), ["a"]);
    assert!(ids(&mut store, 10_000).is_empty());
}

#[test]
fn deregistration_and_draining_are_visible_after_a_delay() {
    let mut store = store();
    store.register(at(0), record("a"));
    store.register(at(0), record("b"));
    assert!(store.deregister(at(1_000), "a"));
    assert!(store.set_draining(at(1_000), "b", true));
    assert!(!store.deregister(at(1_000), "unknown"));
    let early = store.list(at(1_299)).backends;
    assert!(
        early
            .iter()
            .all(|backend| backend.state == RegistryState::Active)
    );
    assert_eq!(early.len(), 2);
    let late = store.list(at(1_300)).backends;
    assert_eq!((late.len(), late[0].state), (1, RegistryState::Draining));
    assert_eq!(late[0].load_age_ms, 1_300);
}

#[test]
fn a_report_does_not_end_draining() {
    let mut store = store();
    store.register(at(0), record("a"));
    store.set_draining(at(0), "a", true);
    store.register(at(500), record("a"));
    assert_eq!(
        store.list(at(600)).backends[0].state,
        RegistryState::Draining
    );
}
