//! Tests of the simulation of load counts of a certain age.

use millford_core::Duration;
use millford_experiments::load_age::{LoadAgeOutcome, Sharing, simulate};
use millford_experiments::suite::load_age::{FLEETS, fleet, owners, period};

fn simulate_fleet(seed: u64, size: (usize, usize), sharing: Sharing) -> LoadAgeOutcome {
    simulate(&fleet(seed, size, sharing))
}

#[test]
fn equal_seeds_reproduce_the_figures() {
    let one = simulate_fleet(1, FLEETS[0], owners(4));
    assert_eq!(one, simulate_fleet(1, FLEETS[0], owners(4)));
    assert_ne!(one, simulate_fleet(2, FLEETS[0], owners(4)));
    assert_eq!(one.first_token_ms.len(), one.regret_ms.len());
}

#[test]
fn broadcast_counts_make_more_requests_late_as_the_fleet_grows() {
    let [small, middle, large] = FLEETS.map(|size| {
        let period = period(size.0);
        simulate_fleet(1, size, Sharing::Broadcast { period }).late_share()
    });
    assert!(small < 0.02, "{small}");
    assert!(middle > 0.1 && large > middle, "{middle} {large}");
}

#[test]
fn counts_queried_from_owners_stay_accurate_at_any_fleet_size() {
    for size in FLEETS {
        let queried = simulate_fleet(1, size, owners(4));
        let best = simulate_fleet(1, size, Sharing::Omniscient);
        assert!(
            queried.late_share() <= best.late_share() + 0.005,
            "{size:?}"
        );
        assert!(queried.mean_regret_ms() < 60.0, "{size:?}");
    }
}

#[test]
fn a_very_short_broadcast_period_is_as_good_as_true_counts() {
    let period = Duration::from_micros(500);
    let broadcast = simulate_fleet(1, FLEETS[0], Sharing::Broadcast { period });
    let best = simulate_fleet(1, FLEETS[0], Sharing::Omniscient);
    assert!(broadcast.mean_regret_ms() < best.mean_regret_ms() + 2.0);
}
