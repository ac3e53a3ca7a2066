//! Random work under random faults: the group's rules hold throughout, and it is whole again after.
//!
//! `MILLFORD_SEEDS=N` and `MILLFORD_FIRST_SEED=S` choose another range of seeds.

mod group;

use group::network::Weather;
use group::simulation::{Defect, Simulation};
use millford_core::Duration;

const SEEDS: u64 = 300;
const ROUNDS: u32 = 6000;

fn number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Few faults let much happen between them; many strike while others last.
fn fault_rate(seed: u64) -> f64 {
    [0.002, 0.005, 0.01, 0.03][usize::try_from(seed / 16 % 4).expect("small")]
}

fn weather(seed: u64) -> Weather {
    let loss = [0.0, 0.02, 0.1, 0.3];
    let delays = [5, 20, 60, 200];
    let choice = |step: u64| usize::try_from(seed / step % 4).expect("small");
    Weather {
        loss: loss[choice(1)],
        repetition: 0.05,
        longest_delay: Duration::from_millis(delays[choice(4)]),
    }
}

fn run(seed: u64, size: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, size, weather(seed), Defect::None);
    let wanted = usize::try_from(size).expect("small");
    simulation.run_chaos(ROUNDS, wanted, fault_rate(seed));
    simulation.recover(wanted);
    simulation
}

fn sweep(size: u64) {
    let first = number("MILLFORD_FIRST_SEED", 0);
    let count = number("MILLFORD_SEEDS", SEEDS);
    let (mut leaderless, mut recovery) = (None, None);
    let (mut entries, mut elections, mut reads, mut snapshots) = (0, 0, 0, 0);
    for seed in first..first + count {
        let simulation = run(seed, size);
        let history = simulation.history;
        assert_eq!(
            history.violations,
            Vec::<String>::new(),
            "seed {seed} size {size}"
        );
        entries += history.committed_index();
        elections += history.elections;
        reads += history.confirmed_reads;
        snapshots += history.snapshots_received;
        leaderless = leaderless.max(history.leaderless);
        recovery = recovery.max(history.recovery);
    }
    println!(
        "size {size}: {count} seeds, {entries} entries, {elections} elections, \
         {reads} confirmed reads, {snapshots} restored snapshots; after the faults, worst: \
         confirmed leader {leaderless:?}, whole {recovery:?}"
    );
    assert!(entries > count && elections > count && reads > count && snapshots > 0);
}

#[test]
fn three_voters_keep_the_rules() {
    sweep(3);
}

#[test]
fn five_voters_keep_the_rules() {
    sweep(5);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let facts = |simulation: &Simulation| {
        let machines = simulation.machines.values();
        let digests: Vec<u64> = machines.map(|machine| machine.digest).collect();
        (
            simulation.now,
            digests,
            simulation.history.committed_index(),
        )
    };
    assert_eq!(facts(&run(11, 3)), facts(&run(11, 3)));
}
