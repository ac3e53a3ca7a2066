//! Who leads, who does not, and what a leader may answer.

mod group;

use group::network::NetworkConditions;
use group::simulation::{Defect, Simulation};
use millford_core::{Duration, NodeId};
use millford_replication::{ReplicaStatus, TransferError};

const SECOND: Duration = Duration::from_secs(1);
/// Check of the quorum, one election timeout, one more round.
const FAILOVER: Duration = Duration::from_millis(2500);

fn started(seed: u64) -> (Simulation, NodeId) {
    let mut simulation = Simulation::new(seed, 3, NetworkConditions::CALM, Defect::None);
    simulation.run_for(SECOND * 3);
    let leader = simulation.leaders()[0];
    (simulation, leader)
}

fn status(simulation: &mut Simulation, node: NodeId) -> ReplicaStatus {
    simulation.replica(node).expect("runs").status()
}

fn others(simulation: &Simulation, node: NodeId) -> Vec<NodeId> {
    let nodes = simulation.machines.keys().copied();
    nodes.filter(|other| *other != node).collect()
}

fn partition(simulation: &mut Simulation, node: NodeId) {
    for other in others(simulation, node) {
        simulation.network.cut.insert((node, other));
        simulation.network.cut.insert((other, node));
    }
}

#[test]
fn a_partitioned_leader_steps_down_before_another_is_elected() {
    for seed in 0..50 {
        let (mut simulation, leader) = started(seed);
        partition(&mut simulation, leader);
        let end = simulation.now + FAILOVER;
        while simulation.now < end {
            simulation.step();
            assert!(simulation.leaders().len() <= 1, "seed {seed}");
        }
        let leaders = simulation.leaders();
        assert_eq!(leaders.len(), 1, "seed {seed}");
        assert_ne!(leaders[0], leader);
    }
}

#[test]
fn a_partitioned_follower_that_returns_does_not_depose_the_leader() {
    let (mut simulation, leader) = started(1);
    let term = status(&mut simulation, leader).term;
    let follower = others(&simulation, leader)[0];
    partition(&mut simulation, follower);
    simulation.run_for(SECOND * 20);
    simulation.network.cut.clear();
    simulation.run_for(SECOND * 3);
    assert_eq!(simulation.leaders(), [leader]);
    assert_eq!(status(&mut simulation, leader).term, term);
}

#[test]
fn a_frozen_leader_answers_no_reads_when_it_resumes() {
    let (mut simulation, leader) = started(2);
    simulation
        .machines
        .get_mut(&leader)
        .expect("machine")
        .frozen_until = simulation.now + SECOND * 20;
    simulation.run_for(SECOND * 5);
    let next = simulation
        .leaders()
        .into_iter()
        .find(|node| *node != leader)
        .expect("elected");
    let replica = simulation.replica(next).expect("runs");
    replica.propose(b"newer".to_vec()).expect("leads");
    simulation.run_until(|simulation| simulation.machines[&leader].is_running(simulation.now));
    simulation.read(leader);
    simulation.run_for(SECOND * 2);
    assert_eq!(simulation.leaders(), [next]);
    assert_eq!(simulation.history.violations, Vec::<String>::new());
}

#[test]
fn a_new_leader_confirms_no_read_before_an_entry_of_its_own_term() {
    let (mut simulation, leader) = started(3);
    simulation.machines.remove(&leader);
    simulation.run_until(|simulation| !simulation.leaders().is_empty());
    let next = simulation.leaders()[0];
    simulation.read(next);
    let replica = simulation.replica(next).expect("runs");
    assert!(!replica.status().leads_confirmed);
    let confirmed = simulation.history.confirmed_reads;
    simulation.run_until(|simulation| simulation.history.confirmed_reads > confirmed);
    assert!(status(&mut simulation, next).leads_confirmed);
    assert_eq!(simulation.history.violations, Vec::<String>::new());
}

#[test]
fn leadership_is_transferred_without_an_election_timeout() {
    let (mut simulation, leader) = started(4);
    let target = others(&simulation, leader)[1];
    let replica = simulation.replica(leader).expect("runs");
    let unknown = replica.transfer_leadership(NodeId(99));
    assert_eq!(unknown, Err(TransferError::NotVoter));
    replica.transfer_leadership(target).expect("begins");
    replica
        .propose(b"refused".to_vec())
        .expect_err("handing over");
    simulation.run_for(Duration::from_millis(100));
    assert_eq!(simulation.leaders(), [target]);
    let replica = simulation.replica(target).expect("runs");
    replica.propose(b"taken".to_vec()).expect("leads");
}

#[test]
fn a_failed_transfer_expires() {
    let (mut simulation, leader) = started(6);
    let target = others(&simulation, leader)[0];
    simulation
        .replica(leader)
        .expect("runs")
        .transfer_leadership(target)
        .expect("begins");
    simulation.lose_power(target);
    simulation.run_for(SECOND);
    assert_eq!(simulation.leaders(), [leader]);
    let replica = simulation.replica(leader).expect("runs");
    replica
        .propose(b"taken again".to_vec())
        .expect("the transfer is over");
    simulation.lose_power(others(&simulation, leader)[1]);
    let refused = simulation
        .replica(leader)
        .expect("runs")
        .transfer_leadership(target);
    assert_eq!(refused, Err(TransferError::TargetUnreachable));
}
