//! What the age of shared counts costs, without any daemon.

use millford_core::Duration;
use millford_experiments::load_age::{LoadAgeOutcome, Sharing, simulate};
use millford_experiments::suite::load_age::{FLEETS, fleet, owners, period};

fn play(seed: u64, size: (usize, usize), sharing: Sharing) -> LoadAgeOutcome {
    simulate(&fleet(seed, size, sharing))
}

#[test]
fn equal_seeds_reproduce_the_figures() {
    let one = play(1, FLEETS[0], owners(4));
    assert_eq!(one, play(1, FLEETS[0], owners(4)));
    assert_ne!(one, play(2, FLEETS[0], owners(4)));
    assert_eq!(one.first_token_ms.len(), one.regret_ms.len());
}

#[test]
fn broadcast_counts_get_worse_as_the_fleet_grows() {
    let [small, middle, large] = FLEETS.map(|size| {
        let period = period(size.0);
        play(1, size, Sharing::Broadcast { period }).late_share()
    });
    assert!(small < 0.02, "{small}");
    assert!(middle > 0.1 && large > middle, "{middle} {large}");
}

#[test]
fn counts_at_owners_serve_any_fleet_alike() {
    for size in FLEETS {
        let asked = play(1, size, owners(4));
        let best = play(1, size, Sharing::Omniscient);
        assert!(asked.late_share() <= best.late_share() + 0.005, "{size:?}");
        assert!(asked.mean_regret_ms() < 60.0, "{size:?}");
    }
}

#[test]
fn immediate_broadcast_is_as_good_as_omniscience() {
    let period = Duration::from_micros(500);
    let told = play(1, FLEETS[0], Sharing::Broadcast { period });
    let best = play(1, FLEETS[0], Sharing::Omniscient);
    assert!(told.mean_regret_ms() < best.mean_regret_ms() + 2.0);
}
