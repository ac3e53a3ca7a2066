//! After a loss of power a group elects a leader quickly; a replica that restarts alone disrupts nobody.

mod group;

use group::fixture::{SECOND, group_with_leader, new_group};
use group::simulation::Simulation;
use millford_core::{Duration, NodeId};

/// Longest time from the start of all replicas to a leader. The default timeouts alone begin at 500 ms.
const QUICKLY: Duration = Duration::from_millis(450);

fn time_to_leader(simulation: &mut Simulation) -> Duration {
    let start = simulation.now;
    simulation.run_until(|simulation| !simulation.leaders().is_empty());
    simulation.now.since(start)
}

#[test]
fn a_group_that_starts_together_elects_a_leader_quickly() {
    for seed in 0..50 {
        let mut simulation = new_group(seed, 3);
        let taken = time_to_leader(&mut simulation);
        assert!(taken <= QUICKLY, "seed {seed}: {taken:?}");
    }
}

#[test]
fn a_group_that_lost_power_elects_a_leader_quickly_after_restart() {
    for seed in 0..50 {
        let (mut simulation, _) = group_with_leader(seed, 3);
        let nodes: Vec<NodeId> = simulation.machines.keys().copied().collect();
        for node in &nodes {
            simulation.lose_power(*node);
        }
        simulation.run_for(SECOND);
        for node in &nodes {
            simulation.start(*node);
        }
        let taken = time_to_leader(&mut simulation);
        assert!(taken <= QUICKLY, "seed {seed}: {taken:?}");
        simulation.check_logs();
    }
}

#[test]
fn a_single_restarted_replica_does_not_depose_the_leader() {
    for seed in 0..50 {
        let (mut simulation, leader) = group_with_leader(seed, 3);
        let term = simulation.status(leader).term;
        let follower = simulation.others(leader)[0];
        simulation.lose_power(follower);
        simulation.run_for(SECOND);
        simulation.start(follower);
        simulation.run_for(SECOND * 2);
        assert_eq!(simulation.leaders(), [leader], "seed {seed}");
        assert_eq!(simulation.status(leader).term, term);
    }
}
