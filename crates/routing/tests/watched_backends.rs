//! Tests of probing backends before they are used.

use millford_core::{Duration, MonotonicTime};
use millford_routing::BackendHealth;
use millford_routing::backend_health::MAX_WATCHED;

const INACTIVITY: Duration = Duration::from_millis(750);

#[test]
fn a_backend_that_was_never_used_is_probed() {
    let health = BackendHealth::default();
    health.watch(["one", "two"].into_iter());
    let due = health.to_probe(MonotonicTime::from_millis(1_000), INACTIVITY);
    assert_eq!(due, ["one", "two"]);
}

#[test]
fn unused_backends_of_a_large_fleet_are_not_probed() {
    let health = BackendHealth::default();
    let ids: Vec<String> = (0..=MAX_WATCHED).map(|number| number.to_string()).collect();
    health.watch(ids.iter().map(String::as_str));
    let due = health.to_probe(MonotonicTime::from_millis(1_000), INACTIVITY);
    assert_eq!(due, Vec::<String>::new());
}
