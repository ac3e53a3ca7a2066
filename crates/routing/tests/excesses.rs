//! Backends that exceed a limit are left out for a time that grows, and callers cannot make the index of blocks grow without
//! a limit.

use millford_core::{Duration, MonotonicTime};
use millford_routing::backend_health::{MAX_HOLD, MIN_HOLD, PROBES_TO_READMIT};
use millford_routing::prefix_index::MAX_BLOCKS_PER_SHARD;
use millford_routing::{BackendHealth, EjectionReason, PrefixBlock, PrefixIndex};

/// Distance of the ids of blocks of one shard: the number of shards is a power of two up to this one.
const STRIDE: u64 = 1024;
const ID: &str = "backend";

fn start() -> MonotonicTime {
    MonotonicTime::from_millis(1_000)
}

/// Whether as many successful probes as readmit any other backend readmit this one.
fn readmitted(health: &BackendHealth, now: MonotonicTime) -> bool {
    for _ in 0..PROBES_TO_READMIT {
        health.probe_succeeded(ID, now);
    }
    health.is_usable(ID)
}

#[test]
fn successful_probes_do_not_readmit_a_backend_before_its_hold_ends() {
    let health = BackendHealth::default();
    assert!(health.eject_over_limit(ID, start()));
    assert_eq!(health.ejection(ID), Some(EjectionReason::OverLimit));
    let just_before = Duration::from_millis(1);
    assert!(!readmitted(
        &health,
        start() + MIN_HOLD.saturating_sub(just_before)
    ));
    assert!(readmitted(&health, start() + MIN_HOLD));
}

#[test]
fn each_further_excess_doubles_the_hold_up_to_a_limit() {
    let health = BackendHealth::default();
    let mut now = start();
    let mut hold = MIN_HOLD;
    for _ in 0..8 {
        health.eject_over_limit(ID, now);
        let end = now + hold;
        assert!(!readmitted(
            &health,
            now + hold.saturating_sub(Duration::from_millis(1))
        ));
        assert!(readmitted(&health, end), "{hold:?}");
        now = end;
        hold = (hold * 2).min(MAX_HOLD);
    }
}

#[test]
fn excesses_of_requests_in_flight_count_as_one() {
    let health = BackendHealth::default();
    for _ in 0..40 {
        health.eject_over_limit(ID, start());
    }
    assert!(readmitted(&health, start() + MIN_HOLD));
}

#[test]
fn an_excess_is_forgotten_after_a_while() {
    let health = BackendHealth::default();
    health.eject_over_limit(ID, start());
    let much_later = start() + Duration::from_hours(1);
    assert!(readmitted(&health, much_later));
    health.eject_over_limit(ID, much_later);
    assert!(readmitted(&health, much_later + MIN_HOLD));
}

#[test]
fn blocks_over_the_limit_of_the_index_are_not_recorded_until_others_expire() {
    let index = PrefixIndex::default();
    let block = |number: usize| PrefixBlock {
        id: number as u64 * STRIDE,
        tokens: 1,
    };
    let is_recorded = |at, number| {
        let found = index.most_recent_backends(at, block(number).id, &[], 1);
        !found.is_empty()
    };
    for number in 0..=MAX_BLOCKS_PER_SHARD {
        index.record_dispatch(start(), ID, &[block(number)], 1);
    }
    assert!(is_recorded(start(), MAX_BLOCKS_PER_SHARD - 1));
    assert!(!is_recorded(start(), MAX_BLOCKS_PER_SHARD));
    let later = start() + Duration::from_hours(1);
    index.expire(later);
    index.record_dispatch(later, ID, &[block(MAX_BLOCKS_PER_SHARD)], 1);
    assert!(is_recorded(later, MAX_BLOCKS_PER_SHARD));
}
