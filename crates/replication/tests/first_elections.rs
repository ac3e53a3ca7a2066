//! After a loss of power a group leads again soon; a replica that comes back alone disturbs nobody.

mod group;

use group::network::NetworkConditions;
use group::simulation::{Defect, Simulation};
use millford_core::{Duration, NodeId};

/// Longest time from the start of all replicas to a leader. The usual time-outs alone begin at 500 ms.
const SOON: Duration = Duration::from_millis(450);

const SECOND: Duration = Duration::from_secs(1);

fn time_to_lead(simulation: &mut Simulation) -> Duration {
    let begun = simulation.now;
    simulation.run_until(|simulation| !simulation.leaders().is_empty());
    simulation.now.since(begun)
}

#[test]
fn a_group_that_starts_together_elects_a_leader_quickly() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed, 3, NetworkConditions::CALM, Defect::None);
        let waited = time_to_lead(&mut simulation);
        assert!(waited <= SOON, "seed {seed}: {waited:?}");
    }
}

#[test]
fn a_group_that_lost_power_elects_a_leader_quickly_after_restart() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed, 3, NetworkConditions::CALM, Defect::None);
        simulation.run_for(SECOND * 3);
        let nodes: Vec<NodeId> = simulation.machines.keys().copied().collect();
        for node in &nodes {
            simulation.lose_power(*node);
        }
        simulation.run_for(SECOND);
        for node in &nodes {
            simulation.start(*node);
        }
        let waited = time_to_lead(&mut simulation);
        assert!(waited <= SOON, "seed {seed}: {waited:?}");
        simulation.check_logs();
    }
}

#[test]
fn a_single_restarted_replica_does_not_depose_the_leader() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed, 3, NetworkConditions::CALM, Defect::None);
        simulation.run_for(SECOND * 3);
        let leader = simulation.leaders()[0];
        let term = simulation.replica(leader).expect("runs").status().term;
        let nodes: Vec<NodeId> = simulation.machines.keys().copied().collect();
        let follower = nodes
            .into_iter()
            .find(|node| *node != leader)
            .expect("three");
        simulation.lose_power(follower);
        simulation.run_for(SECOND);
        simulation.start(follower);
        simulation.run_for(SECOND * 2);
        assert_eq!(simulation.leaders(), [leader], "seed {seed}");
        assert_eq!(
            simulation.replica(leader).expect("runs").status().term,
            term
        );
    }
}
