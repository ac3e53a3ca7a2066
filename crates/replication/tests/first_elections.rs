//! First elections after a restart: a group that lost power elects a leader quickly, and a replica
//! that restarts alone does not depose the leader.

mod group;

use group::fixture::{SECOND, group_with_leader, new_group};
use group::simulation::Simulation;
use millford_core::{Duration, NodeId};

/// Longest time from the start of all replicas until one leads. It is shorter than the shortest
/// default election timeout of 500 ms, so it holds only with the shortened initial timeout.
const MAX_TIME_TO_LEADER: Duration = Duration::from_millis(450);

fn time_to_leader(simulation: &mut Simulation) -> Duration {
    let start = simulation.now;
    simulation.run_until(|simulation| !simulation.leaders().is_empty());
    simulation.now.since(start)
}

#[test]
fn a_group_that_starts_together_elects_a_leader_quickly() {
    for seed in 0..50 {
        let mut simulation = new_group(seed, 3);
        let elapsed = time_to_leader(&mut simulation);
        assert!(elapsed <= MAX_TIME_TO_LEADER, "seed {seed}: {elapsed:?}");
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
        let elapsed = time_to_leader(&mut simulation);
        assert!(elapsed <= MAX_TIME_TO_LEADER, "seed {seed}: {elapsed:?}");
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
