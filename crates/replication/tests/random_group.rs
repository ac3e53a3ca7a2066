//! Random load and random faults: the safety invariants hold throughout, and the group recovers
//! after the faults have ended.
//!
//! `MILLFORD_SEEDS=N` and `MILLFORD_FIRST_SEED=S` select another range of seeds.

mod group;

use group::network::NetworkConditions;
use group::simulation::{Defect, Simulation};
use millford_core::Duration;

const SEEDS: u64 = 300;
const STEPS: u32 = 6000;

fn number_from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Low rates leave time for progress between faults; high rates make faults overlap.
fn fault_rate(seed: u64) -> f64 {
    [0.002, 0.005, 0.01, 0.03][usize::try_from(seed / 16 % 4).expect("small")]
}

fn conditions(seed: u64) -> NetworkConditions {
    let loss = [0.0, 0.02, 0.1, 0.3];
    let delays = [5, 20, 60, 200];
    let choice = |divisor: u64| usize::try_from(seed / divisor % 4).expect("small");
    NetworkConditions {
        loss: loss[choice(1)],
        duplication: 0.05,
        max_delay: Duration::from_millis(delays[choice(4)]),
    }
}

fn run(seed: u64, size: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, size, conditions(seed), Defect::None);
    let desired = usize::try_from(size).expect("small");
    simulation.run_chaos(STEPS, desired, fault_rate(seed));
    simulation.recover(desired);
    simulation
}

fn sweep(size: u64) {
    let first = number_from_environment("MILLFORD_FIRST_SEED", 0);
    let count = number_from_environment("MILLFORD_SEEDS", SEEDS);
    let (mut time_to_leader, mut time_to_recovery) = (None, None);
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
        time_to_leader = time_to_leader.max(history.time_to_leader);
        time_to_recovery = time_to_recovery.max(history.time_to_recovery);
    }
    println!(
        "size {size}: {count} seeds, {entries} entries, {elections} elections, \
         {reads} confirmed reads, {snapshots} restored snapshots; after the faults, worst: \
         confirmed leader {time_to_leader:?}, recovered {time_to_recovery:?}"
    );
    assert!(
        entries > count && elections > count && reads > count && snapshots > 0,
        "too few events for the checks to be meaningful: {entries} entries, {elections} elections, \
         {reads} reads, {snapshots} snapshots in {count} runs"
    );
}

#[test]
fn three_voters_keep_the_safety_invariants() {
    sweep(3);
}

#[test]
fn five_voters_keep_the_safety_invariants() {
    sweep(5);
}

#[test]
fn the_same_seed_produces_the_same_run() {
    let summary = |simulation: &Simulation| {
        let machines = simulation.machines.values();
        let digests: Vec<u64> = machines.map(|machine| machine.digest).collect();
        (
            simulation.now,
            digests,
            simulation.history.committed_index(),
        )
    };
    assert_eq!(summary(&run(11, 3)), summary(&run(11, 3)));
}
