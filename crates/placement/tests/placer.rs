//! Placements that the placer plans for simulated pools.

mod support;

use std::collections::BTreeMap;

use millford_api::state::BackendState;
use millford_core::{Duration, MonotonicTime};
use millford_placement::{MoveReason, Placer, PlacerOptions, ReplicaKey};
use quickcheck::{TestResult, quickcheck};
use support::{Fixture, TICK, load, pool, two_versions};

/// Streams at which a replica's utilization is about 40% and 90% at the prior costs.
const LOW_LOAD_STREAMS: u32 = 20;
const HIGH_LOAD_STREAMS: u32 = 45;

#[test]
fn a_model_that_shares_no_backend_is_placed_on_all_backends() {
    let fixture = two_versions();
    assert_eq!(fixture.active().len(), 12);
    assert!(fixture.active().iter().all(|key| key.version == "v1"));
}

#[test]
fn a_stable_load_causes_no_moves() {
    let mut fixture = two_versions();
    fixture.load_active(LOW_LOAD_STREAMS);
    fixture.run(Duration::from_secs(20));
    let stable = fixture.placement.clone();
    for _ in 0..600 {
        assert_eq!(fixture.tick(), Vec::new());
    }
    assert_eq!(fixture.placement, stable);
}

#[test]
fn an_older_epoch_is_fenced() {
    let mut fixture = two_versions();
    fixture.placement.as_mut().unwrap().epoch = 5;
    fixture.epoch = 4;
    fixture.set_state("b00", BackendState::BackendDraining);
    let moves = fixture.tick();
    assert_eq!(moves[0].reason, MoveReason::Fenced);
    assert_eq!(fixture.placement.as_ref().unwrap().epoch, 5);
    fixture.epoch = 6;
    fixture.tick();
    assert_eq!(fixture.placement.as_ref().unwrap().epoch, 6);
}

#[test]
fn a_retired_backend_drains_at_the_next_tick_and_is_removed_when_empty() {
    let mut fixture = two_versions();
    fixture.load_active(HIGH_LOAD_STREAMS);
    fixture.run(Duration::from_secs(5));
    fixture.set_state("b03", BackendState::BackendDraining);
    fixture.tick();
    assert!(fixture.active().iter().all(|key| key.backend != "b03"));
    assert_eq!(fixture.draining(), vec![ReplicaKey::new("b03", "m", "v1")]);
    fixture.streams.clear();
    fixture.run(Duration::from_secs(2));
    assert_eq!(fixture.draining(), Vec::new());
    assert_eq!(fixture.times_of(MoveReason::Drained).len(), 1);
}

#[test]
fn a_drain_ends_at_its_timeout() {
    let mut fixture = two_versions();
    fixture.load_active(HIGH_LOAD_STREAMS);
    fixture.run(Duration::from_secs(5));
    fixture.set_state("b03", BackendState::BackendGone);
    fixture.run(Duration::from_secs(20));
    let started = fixture.times_of(MoveReason::Retired)[0];
    let ended = fixture.times_of(MoveReason::DrainTimedOut)[0];
    let drain = Duration::from_millis(u64::from(fixture.pool.drain_ms));
    let drained_for = ended.since(started);
    assert!(drained_for <= drain + TICK, "{drained_for:?}");
    assert!(drained_for >= drain, "{drained_for:?}");
}

#[test]
fn a_new_placer_retains_the_placement_until_its_load_snapshot_is_complete() {
    let mut fixture = two_versions();
    fixture.load_active(HIGH_LOAD_STREAMS);
    fixture.run(Duration::from_secs(10));
    fixture.set_state("b03", BackendState::BackendDraining);
    fixture.tick();
    let before = fixture.placement.clone().unwrap();
    fixture.placer = Placer::new(PlacerOptions::default());
    fixture.epoch += 1;
    fixture.streams.clear();
    // No member has reported work on the draining replica to the new placer yet, so the replica
    // must not count as idle.
    for _ in 0..8 {
        assert_eq!(fixture.tick(), Vec::new());
    }
    assert_eq!(fixture.placement, Some(before));
    fixture.run(Duration::from_secs(3));
    assert_eq!(fixture.times_of(MoveReason::Drained).len(), 1);
    assert_eq!(fixture.active().len(), 11);
}

#[test]
fn a_lowered_weight_is_raised_again_when_the_load_ends() {
    let mut fixture = Fixture::new(pool(), shared_options());
    shared_backends(&mut fixture);
    fixture.tick();
    fixture
        .streams
        .insert(ReplicaKey::new("s0", "heavy", "v1"), 100);
    fixture.run(Duration::from_secs(30));
    let lowest_weight = |fixture: &Fixture| {
        let replicas = &fixture.placement.as_ref().unwrap().replicas;
        replicas.iter().map(|replica| replica.weight_milli).min()
    };
    let lowered = lowest_weight(&fixture);
    assert!(lowered < Some(1000), "{lowered:?}");
    fixture.streams.clear();
    fixture.run(Duration::from_mins(5));
    assert_eq!(lowest_weight(&fixture), Some(1000));
    let stable = fixture.history.len();
    fixture.run(Duration::from_mins(1));
    assert_eq!(fixture.history.len(), stable);
}

#[test]
fn a_transition_under_low_load_completes_in_small_steps() {
    let mut fixture = two_versions();
    fixture.load_active(LOW_LOAD_STREAMS);
    fixture.run(Duration::from_secs(5));
    fixture.pool.target_version = "v2".to_owned();
    for _ in 0..200 {
        fixture.tick();
        let with_both = fixture.draining().len();
        assert!(
            with_both <= 1,
            "{with_both} backends hold both versions at once"
        );
        assert_eq!(fixture.active().len(), 12);
        fixture.load_active(LOW_LOAD_STREAMS);
    }
    assert!(fixture.active().iter().all(|key| key.version == "v2"));
    assert_eq!(fixture.draining(), Vec::new());
    assert_eq!(fixture.times_of(MoveReason::TransitionForced), Vec::new());
}

#[test]
fn a_transition_under_high_load_is_forced_after_the_longest_deferral() {
    let mut fixture = two_versions();
    fixture.load_active(HIGH_LOAD_STREAMS);
    fixture.run(Duration::from_secs(10));
    fixture.pool.target_version = "v2".to_owned();
    let requested_at = fixture.now;
    for _ in 0..600 {
        fixture.tick();
        fixture.load_active(HIGH_LOAD_STREAMS);
    }
    let deferral = Duration::from_millis(u64::from(fixture.pool.longest_deferral_ms));
    assert_eq!(fixture.times_of(MoveReason::TransitionStep), Vec::new());
    let forced = fixture.times_of(MoveReason::TransitionForced);
    assert_eq!(forced.len(), 12);
    let deferred_for = forced[0].since(requested_at);
    assert!(deferred_for >= deferral, "{deferred_for:?}");
    assert!(deferred_for <= deferral + TICK + TICK, "{deferred_for:?}");
    let paced = forced
        .windows(2)
        .all(|pair| pair[1].since(pair[0]) >= Duration::from_secs(15));
    assert!(paced, "{forced:?}");
    assert!(fixture.active().iter().all(|key| key.version == "v2"));
}

#[test]
fn the_gate_opens_when_the_load_falls() {
    let mut fixture = two_versions();
    fixture.load_active(HIGH_LOAD_STREAMS);
    fixture.run(Duration::from_secs(10));
    fixture.pool.target_version = "v2".to_owned();
    fixture.run(Duration::from_secs(10));
    assert_eq!(fixture.times_of(MoveReason::TransitionStep), Vec::new());
    assert_ne!(fixture.times_of(MoveReason::TransitionDeferred), Vec::new());
    fixture.load_active(LOW_LOAD_STREAMS);
    fixture.run(Duration::from_secs(15));
    assert_ne!(fixture.times_of(MoveReason::TransitionStep), Vec::new());
}

#[test]
fn retirements_bypass_the_gate_and_defer_transition_steps() {
    let mut fixture = two_versions();
    fixture.load_active(LOW_LOAD_STREAMS);
    fixture.run(Duration::from_secs(5));
    fixture.pool.target_version = "v2".to_owned();
    fixture.set_state("b07", BackendState::BackendDraining);
    let start = fixture.now;
    fixture.run(Duration::from_secs(6));
    assert_eq!(fixture.times_of(MoveReason::Retired).len(), 1);
    assert!(
        !fixture
            .times_of(MoveReason::TransitionBehindRetirements)
            .is_empty()
    );
    assert_eq!(fixture.times_of(MoveReason::TransitionStep), Vec::new());
    // Once the work on the retired backend has ended, the transition proceeds.
    fixture.streams.retain(|key, _| key.backend != "b07");
    fixture.run(Duration::from_secs(4));
    let steps = fixture.times_of(MoveReason::TransitionStep);
    assert!(steps[0] > start, "{steps:?} after {start:?}");
}

#[test]
fn old_replicas_on_backends_without_the_target_version_remain_while_needed() {
    let mut fixture = Fixture::new(pool(), PlacerOptions::default());
    for number in 0..6 {
        fixture.add_backend(&format!("old{number}"), &[("m", "v1")]);
    }
    fixture.tick();
    fixture.add_backend("new0", &[("m", "v2")]);
    for _ in 0..400 {
        fixture.load_active(HIGH_LOAD_STREAMS);
        fixture.tick();
    }
    assert_eq!(fixture.active().len(), 7);
    for number in 1..6 {
        fixture.add_backend(&format!("new{number}"), &[("m", "v2")]);
    }
    let mut counts = Vec::new();
    for _ in 0..400 {
        fixture.load_active(LOW_LOAD_STREAMS / 2);
        fixture.tick();
        counts.push(fixture.active().len());
    }
    assert_eq!(fixture.active().len(), 6);
    assert!(fixture.active().iter().all(|key| key.version == "v2"));
    assert!(
        counts
            .windows(2)
            .all(|pair| pair[1] <= pair[0] || pair[0] < 12),
        "{counts:?}"
    );
}

#[test]
fn a_backend_over_its_bandwidth_limit_is_relieved_or_reported() {
    let mut fixture = Fixture::new(pool(), shared_options());
    shared_backends(&mut fixture);
    fixture.tick();
    // The limit is 130 GB/s; 100 streams of the heavy model use 200 GB/s.
    fixture
        .streams
        .insert(ReplicaKey::new("s0", "heavy", "v1"), 100);
    // The smoothed use exceeds the limit after about two seconds, and weights are lowered when it
    // has stayed above for five.
    fixture.run(Duration::from_secs(8));
    assert_ne!(fixture.times_of(MoveReason::BandwidthRelief), Vec::new());
    for key in fixture.active() {
        fixture.streams.insert(key, 100);
    }
    fixture.run(Duration::from_secs(8));
    assert_ne!(fixture.times_of(MoveReason::BandwidthExceeded), Vec::new());
}

fn shared_options() -> PlacerOptions {
    let declared = [("heavy", 2.0), ("light", 0.2)];
    PlacerOptions {
        declared_stream_gbps: declared
            .into_iter()
            .map(|(model, gbps)| (model.to_owned(), gbps))
            .collect(),
        ..PlacerOptions::default()
    }
}

fn shared_backends(fixture: &mut Fixture) {
    for number in 0..6 {
        fixture.add_backend(&format!("s{number}"), &[("heavy", "v1"), ("light", "v1")]);
    }
}

#[test]
fn counts_of_an_inactive_member_expire() {
    let mut placer = Placer::new(PlacerOptions::default());
    let key = ReplicaKey::new("b", "m", "v1");
    let start = MonotonicTime::from_millis(10);
    let second = Duration::from_secs(1);
    placer.observe(start, "agent-1", &[load(&key, 4)]);
    placer.observe(start + second * 2, "agent-2", &[load(&key, 3)]);
    assert_eq!(
        placer.load_snapshot(start + second * 2)[0].decode_streams,
        7
    );
    assert_eq!(
        placer.load_snapshot(start + second * 6)[0].decode_streams,
        3
    );
    assert_eq!(placer.load_snapshot(start + second * 9), Vec::new());
}

#[test]
fn counts_missing_from_a_report_remain_and_counts_of_ended_work_are_zero() {
    let mut placer = Placer::new(PlacerOptions::default());
    let first = ReplicaKey::new("b1", "m", "v1");
    let second = ReplicaKey::new("b2", "m", "v1");
    let start = MonotonicTime::from_millis(10);
    placer.observe(start, "agent-1", &[load(&first, 4), load(&second, 5)]);
    placer.observe(start + TICK, "agent-1", &[load(&first, 0)]);
    let load_snapshot = placer.load_snapshot(start + TICK);
    let streams: Vec<u32> = load_snapshot
        .iter()
        .map(|load| load.decode_streams)
        .collect();
    assert_eq!(streams, vec![0, 5]);
    placer.forget("agent-1");
    assert_eq!(placer.load_snapshot(start + TICK), Vec::new());
}

/// Returns the estimated bandwidth use of each backend, in GB/s.
fn use_by_backend(streams: &BTreeMap<ReplicaKey, u32>) -> BTreeMap<String, f64> {
    let options = shared_options();
    let mut used = BTreeMap::new();
    for (key, count) in streams {
        let per_stream = options.declared_stream_gbps[&key.model];
        *used.entry(key.backend.clone()).or_insert(0.0) += per_stream * f64::from(*count);
    }
    used
}

quickcheck! {
    /// A replica is never added on a backend above its bandwidth limit.
    fn no_replica_is_added_over_the_bandwidth_limit(counts: Vec<u8>, ticks: u8) -> TestResult {
        if counts.is_empty() {
            return TestResult::discard();
        }
        let mut fixture = Fixture::new(pool(), shared_options());
        shared_backends(&mut fixture);
        fixture.tick();
        for (step, count) in counts.iter().take(20).enumerate() {
            let active = fixture.active();
            if active.is_empty() {
                break;
            }
            let key = active[step % active.len()].clone();
            fixture.streams.insert(key, u32::from(*count));
            let loaded = use_by_backend(&fixture.streams);
            for _ in 0..u32::from(ticks % 40) + 20 {
                for step in fixture.tick() {
                    let added = matches!(step.reason, MoveReason::ScaledUp | MoveReason::Placed);
                    let over = loaded.get(&step.replica.backend).is_some_and(|used| *used > 131.0);
                    if added && over {
                        return TestResult::error(format!("{} added above the limit", step.replica));
                    }
                }
            }
        }
        TestResult::passed()
    }

    /// For any sequence of backend states, epochs never decrease and no inactive backend takes new
    /// work.
    fn inactive_backends_take_no_new_work(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut fixture = two_versions();
        let mut epoch = 0;
        for (backend, state, streams) in steps {
            let id = format!("b{:02}", backend % 12);
            let state = match state % 3 {
                0 => BackendState::BackendActive,
                1 => BackendState::BackendDraining,
                _ => BackendState::BackendGone,
            };
            fixture.set_state(&id, state);
            fixture.epoch += u64::from(streams % 2);
            fixture.load_active(u32::from(streams % 60));
            fixture.pool.target_version = if streams % 5 == 0 { "v2" } else { "v1" }.to_owned();
            fixture.tick();
            let placement = fixture.placement.clone().unwrap();
            if placement.epoch < epoch {
                return false;
            }
            epoch = placement.epoch;
            let all_active = fixture.active().iter().all(|key| {
                fixture.backends[&key.backend].state() == BackendState::BackendActive
            });
            if !all_active {
                return false;
            }
        }
        true
    }
}
