//! Tests of quota enforcement by simulated fleets whose usage counts are of a certain age.

use millford_core::{Duration, MonotonicTime};
use millford_experiments::quota_age::OwnerFleet;
use millford_experiments::quota_age::fleet_quota::{
    BURST, RATE, REQUEST, STEP_MS, allowed, quota, tenant,
};
use millford_experiments::quota_age::owner_fleet::REPORT_INTERVAL_STEPS;
use millford_experiments::suite::quota_age::{FLEETS, OWNERS, UsageSharing, simulate_fleet};
use millford_forward::quota::{PeerCount, TenantQuotas};
use quickcheck::{QuickCheck, TestResult};

/// Factor by which the tokens admitted in one window may exceed the quota: nodes keep a rate and burst somewhat
/// above the tenant's.
const HEADROOM: f64 = 1.15;
const NODES_IN_ZONE: usize = 20;

fn fleet(zones: usize) -> OwnerFleet {
    OwnerFleet::new(zones, NODES_IN_ZONE, 11)
}

fn bound(extra: u64) -> u64 {
    (allowed() as f64 * HEADROOM) as u64 + extra
}

fn assert_bounded(fleet: &OwnerFleet, extra: u64) {
    let (most, bound) = (fleet.admissions.max_tokens_in_window(), bound(extra));
    assert!(most <= bound, "{most} of {bound}");
}

/// Returns the number of tokens that the owners of this many zones may grant before they receive each other's
/// reports.
fn unreported(zones: u64) -> u64 {
    let interval_ms = REPORT_INTERVAL_STEPS as u64 * STEP_MS;
    zones * (BURST / 32 + REQUEST) + RATE * interval_ms / 1000
}

#[test]
fn a_tenant_over_its_quota_gets_its_rate_over_all_zones() {
    for zones in [1, 3, 7] {
        let mut fleet = fleet(zones);
        fleet.send_requests(40, 6.0);
        let total = fleet.admissions.total();
        let expected = RATE * 40 + BURST;
        assert!(
            total as f64 > expected as f64 * 0.95,
            "{total} of {expected}"
        );
        assert_bounded(&fleet, unreported(zones as u64));
        fleet.by_zone.clear();
        fleet.send_requests(30, 6.0);
        let shares: Vec<u64> = fleet.by_zone.values().copied().collect();
        let (least, most) = (shares.iter().min().unwrap(), shares.iter().max().unwrap());
        assert!(*most < least * 3 / 2, "{shares:?}");
    }
}

#[test]
fn a_tenant_under_its_quota_is_not_refused_while_datagrams_are_lost() {
    for loss_percent in [0, 5, 20] {
        let mut fleet = fleet(3);
        fleet.loss_percent = loss_percent;
        fleet.send_requests(30, 0.8);
        assert_eq!(fleet.admissions.refused, 0, "{loss_percent}% lost");
    }
}

#[test]
fn a_partitioned_zone_does_not_double_the_quota() {
    let mut fleet = fleet(3);
    fleet.send_requests(10, 6.0);
    fleet.partitioned_zone = Some(1);
    fleet.send_requests(4, 6.0);
    fleet.partitioned_zone = None;
    fleet.send_requests(10, 6.0);
    // Each side assumes at first that the other keeps its previous usage; the assumption decays within seconds.
    assert_bounded(&fleet, RATE * 2);
}

#[test]
fn a_tenant_is_served_immediately_after_a_long_partition() {
    let mut fleet = fleet(3);
    fleet.send_requests(5, 0.8);
    fleet.partitioned_zone = Some(1);
    fleet.send_requests(30, 0.8);
    fleet.partitioned_zone = None;
    fleet.send_requests(10, 0.8);
    assert_eq!(fleet.admissions.refused, 0);
}

#[test]
fn replacing_a_lost_owner_does_not_charge_usage_twice() {
    for times in [0.8, 6.0] {
        let mut fleet = fleet(3);
        fleet.send_requests(10, times);
        fleet.owners[1][0].is_up = false;
        fleet.send_requests(10, times);
        fleet.replace(1, 0);
        fleet.send_requests(10, times);
        assert_bounded(&fleet, unreported(3) + BURST / 2);
        if times < 1.0 {
            assert_eq!(fleet.admissions.refused, 0);
        }
    }
}

#[test]
fn nodes_without_owners_admit_by_their_last_known_level() {
    let mut fleet = fleet(3);
    fleet.send_requests(10, 6.0);
    fleet.owners[1]
        .iter_mut()
        .for_each(|owner| owner.is_up = false);
    fleet.send_requests(2, 6.0);
    fleet.replace(1, 0);
    fleet.replace(1, 1);
    fleet.send_requests(10, 6.0);
    // Each node keeps to the rate that all nodes had together, so one zone's share may be admitted in addition.
    assert_bounded(&fleet, RATE * 4);
}

#[test]
fn new_owners_recover_the_level_from_their_peers() {
    let mut fleet = fleet(3);
    for change in 0..8 {
        fleet.send_requests(3, 6.0);
        fleet.replace(change % 3, change % 2);
    }
    fleet.send_requests(3, 6.0);
    assert_bounded(&fleet, BURST + unreported(3));
}

#[test]
fn the_first_report_of_a_peer_charges_no_past_usage() {
    let quotas = TenantQuotas::default();
    let now = MonotonicTime::from_millis(100_000);
    let first = quotas.grant(now, &tenant(), REQUEST, 0).expect("a quota");
    let later = now + Duration::from_mins(1);
    let count = PeerCount {
        member: "owner",
        boot_id: 1,
        tenant: "tenant",
        used_tokens: 1_000_000,
        level_tokens: 9_000,
        counted_for: Some(Duration::from_mins(1)),
        owner_zone: Some("elsewhere"),
    };
    quotas.apply_peer_count(later, &quota(), count);
    let level = quotas
        .grant(later, &tenant(), REQUEST, 0)
        .expect("a quota")
        .level_tokens;
    assert!(first.level_tokens > 9_000);
    assert_eq!(level, 9_000 - REQUEST as i64);
}

#[test]
fn any_losses_of_datagrams_leave_the_quota_bounded() {
    /// `loss_percent` is the share of datagrams lost in each second, taken modulo 51 and so at most half; `times` is
    /// the request rate in each second, in tenths of the quota's rate, taken modulo 70.
    fn holds(seed: u64, loss_percent: Vec<u8>, times: Vec<u8>, zones: u8) -> TestResult {
        if loss_percent.is_empty() || times.is_empty() {
            return TestResult::discard();
        }
        let mut fleet = OwnerFleet::new(usize::from(zones % 4) + 1, NODES_IN_ZONE, seed);
        for second in 0..20 {
            fleet.loss_percent = u32::from(loss_percent[second % loss_percent.len()] % 51);
            let times = f64::from(times[second % times.len()] % 70) / 10.0;
            fleet.send_requests(1, times);
        }
        TestResult::from_bool(fleet.admissions.max_tokens_in_window() <= bound(RATE * 3))
    }
    QuickCheck::new()
        .tests(30)
        .quickcheck(holds as fn(u64, Vec<u8>, Vec<u8>, u8) -> TestResult);
}

#[test]
fn owners_enforce_the_quota_at_any_size_and_their_datagrams_do_not_grow() {
    let outcomes = FLEETS.map(|size| simulate_fleet(1, size, OWNERS));
    for (outcome, (nodes, zones)) in outcomes.iter().zip(FLEETS) {
        let most = outcome.hot.max_tokens_in_window();
        assert!(most <= bound(unreported(zones as u64)), "{most} at {nodes}");
        assert_eq!(outcome.under.refused, 0, "{nodes}");
    }
    let [_, _, large, largest] = outcomes.map(|outcome| outcome.hot.datagrams);
    assert!(largest <= large * 2, "{large} at 300, {largest} at 1,000");
}

#[test]
fn rotating_reports_let_a_hot_tenant_exceed_its_quota_in_a_large_fleet() {
    let most = simulate_fleet(1, FLEETS[2], UsageSharing::RotatingPeers)
        .hot
        .max_tokens_in_window();
    let owners = simulate_fleet(1, FLEETS[2], OWNERS)
        .hot
        .max_tokens_in_window();
    assert!(
        most > bound(unreported(7)) && most > owners,
        "{most}, {owners}"
    );
}

/// Tokens admitted in one window, as a share of those allowed, up to which users consider the quota enforced.
const MAX_SHARE_IN_WINDOW: f64 = 1.1;

/// Simulates a power failure of half of a large fleet. Some zones lose both owners until the feed names new ones
/// after three seconds. The tenant requests `before` times its rate until the failure and `after` times from
/// then on.
fn fleet_after_losing_half(seed: u64, before: f64, after: f64) -> OwnerFleet {
    let mut fleet = OwnerFleet::new(7, 42, seed);
    fleet.send_requests(4, before);
    let lost = [(0, 0), (0, 1), (1, 0), (1, 1), (2, 0), (3, 1), (4, 0)];
    for (zone, place) in lost {
        fleet.owners[zone][place].is_up = false;
    }
    fleet.send_requests(3, after);
    for (zone, place) in lost {
        fleet.replace(zone, place);
    }
    fleet.send_requests(6, after);
    fleet
}

#[test]
fn a_fleet_that_loses_half_of_its_owners_keeps_the_quota() {
    for seed in 1..=10 {
        for before in [0.5, 0.9, 1.2, 6.0] {
            let fleet = fleet_after_losing_half(seed, before, 6.0);
            let most = fleet.admissions.max_tokens_in_window() as f64 / allowed() as f64;
            assert!(
                most <= MAX_SHARE_IN_WINDOW,
                "{most:.3} of what is allowed, seed {seed}, {before} before"
            );
        }
    }
}

#[test]
fn a_tenant_under_its_quota_is_not_refused_when_half_of_the_owners_are_lost() {
    for seed in 1..=10 {
        for times in [0.3, 0.6, 0.8] {
            let refused = fleet_after_losing_half(seed, times, times)
                .admissions
                .refused;
            assert_eq!(refused, 0, "seed {seed}, {times} times its rate");
        }
    }
}
