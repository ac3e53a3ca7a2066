//! Tests of the load table, cost estimates, admission, fair queueing and backend health.

mod support;

use std::sync::Arc;

use millford_api::internal::{LoadSnapshot, ReplicaLoad};
use millford_core::{Duration, MonotonicTime};
use millford_routing::{
    AdmissionEstimate, BackendHealth, CostEstimates, EjectionReason, FairQueue, LoadTable,
    ReplicaCounts,
};
use quickcheck::quickcheck;
use support::replica_key as key;

quickcheck! {
    /// No count remains after a guard is dropped, in any phase of the request.
    fn dropped_guards_leave_no_count(phases: Vec<(u8, u16)>) -> bool {
        let table: Arc<LoadTable> = Arc::default();
        let mut guards = Vec::new();
        for (phase, tokens) in phases {
            let mut guard = table.start(key("b", "saga"), u64::from(tokens));
            if phase % 3 > 0 {
                guard.begin_decode();
            }
            if phase % 3 > 1 {
                guard.begin_draining();
            }
            guards.push(guard);
        }
        drop(guards);
        table.counts(&key("b", "saga")) == ReplicaCounts::default()
    }

    /// Samples on a straight line give the parameters of that line.
    fn a_line_is_fitted(base: u8, slope: u8) -> bool {
        let costs = CostEstimates::default();
        let (base, slope) = (f64::from(base), f64::from(slope) / 100.0);
        for tokens in (0..4000u64).step_by(100) {
            costs.add_first_token("saga", tokens, base + slope * tokens as f64);
        }
        let expected = base + slope * 2000.0;
        (costs.first_token_ms("saga", 2000) - expected).abs() < 0.01 * expected + 0.5
    }
}

#[test]
fn reports_contain_only_changes() {
    let table: Arc<LoadTable> = Arc::default();
    let guard = table.start(key("b1", "saga"), 100);
    let reports = table.take_reports();
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].loads[0].prefill_tokens, 100);
    assert_eq!(table.take_reports(), []);
    drop(guard);
    let reports = table.take_reports();
    assert_eq!(reports[0].loads[0].prefill_tokens, 0);
    assert_eq!(table.take_reports(), []);
}

#[test]
fn a_load_snapshot_adds_other_nodes_without_counting_this_one_twice() {
    let table: Arc<LoadTable> = Arc::default();
    let _guard = table.start(key("b1", "saga"), 100);
    let _ = table.take_reports();
    table.merge_snapshot(&LoadSnapshot {
        service: "models".to_owned(),
        epoch: 1,
        loads: vec![ReplicaLoad {
            backend_id: "b1".to_owned(),
            model: "saga".to_owned(),
            version: "1".to_owned(),
            prefill_tokens: 350,
            ..ReplicaLoad::default()
        }],
    });
    assert_eq!(table.counts(&key("b1", "saga")).prefill_tokens, 350);
    let _second = table.start(key("b1", "saga"), 50);
    assert_eq!(table.counts(&key("b1", "saga")).prefill_tokens, 400);
}

#[test]
fn work_is_weighted_by_the_cost_of_the_model() {
    let costs = CostEstimates::default();
    for tokens in (0..4000u64).step_by(100) {
        costs.add_first_token("heavy", tokens, 2.0 * tokens as f64);
        costs.add_first_token("light", tokens, 0.01 * tokens as f64);
    }
    let table: Arc<LoadTable> = Arc::default();
    let _heavy = table.start(key("b1", "heavy"), 1000);
    let _light: Vec<_> = (0..5)
        .map(|_| table.start(key("b2", "light"), 1000))
        .collect();
    let heavy = table.backend_load("b1", 8, &costs);
    let light = table.backend_load("b2", 8, &costs);
    assert!(heavy > 10.0 * light, "{heavy} against {light}");
}

#[test]
fn an_idle_backend_always_admits() {
    let costs = CostEstimates::default();
    let estimate = AdmissionEstimate {
        queued_tokens: 0,
        own_tokens: 10_000_000,
    };
    assert!(estimate.admits("saga", &costs, Duration::from_secs(1)));
    let queued = AdmissionEstimate {
        queued_tokens: 10_000_000,
        own_tokens: 1,
    };
    assert!(!queued.admits("saga", &costs, Duration::from_secs(1)));
}

#[test]
fn the_tenant_with_the_least_load_is_next() {
    let queue = FairQueue::default();
    queue.begin("hot", 900);
    queue.begin("small", 100);
    assert!(queue.is_over_share("hot"));
    assert!(!queue.is_over_share("small"));
    assert!(!queue.is_over_share("newcomer"));
    let hot = queue.join("hot");
    let small = queue.join("small");
    assert!(!queue.is_next("hot", hot));
    assert!(queue.is_next("small", small));
    queue.leave("small", small);
    assert!(queue.is_next("hot", hot));
    queue.leave("hot", hot);
    assert!(!queue.has_waiters());
}

#[test]
fn a_single_tenant_is_never_over_its_share() {
    let queue = FairQueue::default();
    queue.begin("only", 1_000_000);
    assert!(!queue.is_over_share("only"));
}

#[test]
fn only_probes_readmit_an_ejected_backend() {
    let health = BackendHealth::default();
    let now = MonotonicTime::from_millis(5_000);
    assert!(health.eject("b1", EjectionReason::ConnectFailed));
    assert!(!health.eject("b1", EjectionReason::Unresponsive));
    health.record_activity("b1", now);
    assert!(!health.is_usable("b1"));
    assert!(!health.probe_succeeded("b1", now));
    assert!(!health.probe_failed("b1"));
    assert!(!health.probe_succeeded("b1", now));
    assert!(health.probe_succeeded("b1", now));
    assert!(health.is_usable("b1"));
}

#[test]
fn an_inactive_backend_in_use_is_probed_and_ejected() {
    let health = BackendHealth::default();
    let inactivity = Duration::from_secs(1);
    let used_at = MonotonicTime::from_millis(1_000);
    health.record_dispatch("b1", used_at);
    health.record_activity("b1", used_at);
    let soon = used_at + Duration::from_millis(500);
    assert_eq!(health.to_probe(soon, inactivity), Vec::<String>::new());
    let later = used_at + Duration::from_millis(1_100);
    assert_eq!(health.to_probe(later, inactivity), ["b1"]);
    assert!(!health.probe_failed("b1"));
    assert!(health.probe_failed("b1"));
    assert!(!health.is_usable("b1"));
    // An ejected backend is still probed long after its last use.
    let much_later = later + Duration::from_mins(2);
    assert_eq!(health.to_probe(much_later, inactivity), ["b1"]);
}

/// The placement role discards counts that are not refreshed, so the work of a long stream must be
/// reported repeatedly.
#[test]
fn unchanged_work_is_reported_again_and_idle_replicas_are_not() {
    let table: Arc<LoadTable> = Arc::default();
    let guard = table.start(key("b1", "saga"), 10);
    assert_eq!(table.take_reports().len(), 1);
    let repeated = (0..24).filter(|_| !table.take_reports().is_empty()).count();
    assert_eq!(repeated, 2);
    drop(guard);
    assert_eq!(table.take_reports().len(), 1);
    let after_the_end = (0..24).filter(|_| !table.take_reports().is_empty()).count();
    assert_eq!(after_the_end, 0);
}
