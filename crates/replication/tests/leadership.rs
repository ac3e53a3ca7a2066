//! Loss and transfer of the leadership, and the reads that a leader may confirm.

mod group;

use group::fixture::{SECOND, group_with_leader};
use millford_core::{Duration, NodeId};
use millford_replication::TransferError;

/// Bound on a failover: the old leader's quorum timeout, an election timeout and a second election.
const FAILOVER: Duration = Duration::from_millis(2500);

#[test]
fn a_partitioned_leader_steps_down_before_another_is_elected() {
    for seed in 0..50 {
        let (mut simulation, leader) = group_with_leader(seed, 3);
        simulation.isolate(leader);
        let end = simulation.now + FAILOVER;
        while simulation.now < end {
            simulation.step();
            let leaders = simulation.leaders();
            assert!(leaders.len() <= 1, "seed {seed}: {leaders:?}");
        }
        let leaders = simulation.leaders();
        assert_eq!(leaders.len(), 1, "seed {seed}: {leaders:?}");
        assert_ne!(leaders[0], leader);
    }
}

#[test]
fn a_partitioned_follower_that_returns_does_not_depose_the_leader() {
    let (mut simulation, leader) = group_with_leader(1, 3);
    let term = simulation.status(leader).term;
    let follower = simulation.others(leader)[0];
    simulation.isolate(follower);
    simulation.run_for(SECOND * 20);
    simulation.network.heal();
    simulation.run_for(SECOND * 3);
    assert_eq!(simulation.leaders(), [leader]);
    assert_eq!(simulation.status(leader).term, term);
}

#[test]
fn a_stalled_leader_confirms_no_reads_when_it_resumes() {
    let (mut simulation, leader) = group_with_leader(2, 3);
    simulation
        .machines
        .get_mut(&leader)
        .expect("machine")
        .stalled_until = simulation.now + SECOND * 20;
    simulation.run_for(SECOND * 5);
    let next = simulation
        .leaders()
        .into_iter()
        .find(|node| *node != leader)
        .expect("elected");
    let replica = simulation.running_replica(next);
    replica.propose(b"newer".to_vec()).expect("leads");
    simulation.run_until(|simulation| simulation.machines[&leader].is_running(simulation.now));
    simulation.read(leader);
    simulation.run_for(SECOND * 2);
    assert_eq!(simulation.leaders(), [next]);
    assert_eq!(simulation.history.violations, Vec::<String>::new());
}

#[test]
fn a_new_leader_confirms_no_read_before_it_has_committed_an_entry_of_its_own_term() {
    let (mut simulation, leader) = group_with_leader(3, 3);
    simulation.machines.remove(&leader);
    simulation.run_until(|simulation| !simulation.leaders().is_empty());
    let next = simulation.leaders()[0];
    simulation.read(next);
    let replica = simulation.running_replica(next);
    assert!(!replica.status().leads_confirmed);
    let confirmed = simulation.history.confirmed_reads;
    simulation.run_until(|simulation| simulation.history.confirmed_reads > confirmed);
    assert!(simulation.status(next).leads_confirmed);
    assert_eq!(simulation.history.violations, Vec::<String>::new());
}

#[test]
fn leadership_is_transferred_without_an_election_timeout() {
    let (mut simulation, leader) = group_with_leader(4, 3);
    let target = simulation.others(leader)[1];
    let replica = simulation.running_replica(leader);
    let unknown = replica.transfer_leadership(NodeId(99));
    assert_eq!(unknown, Err(TransferError::NotVoter));
    replica.transfer_leadership(target).expect("begins");
    replica
        .propose(b"rejected".to_vec())
        .expect_err("the leadership is being transferred");
    simulation.run_for(Duration::from_millis(100));
    assert_eq!(simulation.leaders(), [target]);
    let replica = simulation.running_replica(target);
    replica.propose(b"accepted".to_vec()).expect("leads");
}

#[test]
fn a_failed_transfer_expires() {
    let (mut simulation, leader) = group_with_leader(6, 3);
    let target = simulation.others(leader)[0];
    simulation
        .running_replica(leader)
        .transfer_leadership(target)
        .expect("begins");
    simulation.lose_power(target);
    simulation.run_for(SECOND);
    assert_eq!(simulation.leaders(), [leader]);
    let replica = simulation.running_replica(leader);
    replica
        .propose(b"accepted again".to_vec())
        .expect("the transfer is over");
    simulation.lose_power(simulation.others(leader)[1]);
    let rejected = simulation
        .running_replica(leader)
        .transfer_leadership(target);
    assert_eq!(rejected, Err(TransferError::TargetUnreachable));
}
