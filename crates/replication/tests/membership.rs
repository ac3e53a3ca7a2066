//! Configuration changes: adding learners, promotions and removals.

mod group;

use group::fixture::{SECOND, group_with_leader, new_group};
use group::simulation::Simulation;
use millford_core::{Duration, NodeId};
use millford_replication::{Role, VoterChange, VoterChangeError};

const SEED: u64 = 5;

/// Returns a group of `size` voters and its leader, after checking that there is only one.
fn group_with_only_leader(size: u64) -> (Simulation, NodeId) {
    let (simulation, _) = group_with_leader(SEED, size);
    let leader = only_leader(&simulation);
    (simulation, leader)
}

fn only_leader(simulation: &Simulation) -> NodeId {
    let leaders = simulation.leaders();
    assert_eq!(leaders.len(), 1, "{leaders:?}");
    leaders[0]
}

fn change(
    simulation: &mut Simulation,
    leader: NodeId,
    change: VoterChange,
) -> Result<u64, VoterChangeError> {
    let replica = simulation.running_replica(leader);
    replica.change_voters(change)
}

fn propose(simulation: &mut Simulation, leader: NodeId, count: u64) {
    for number in 0..count {
        let replica = simulation.running_replica(leader);
        replica
            .propose(number.to_le_bytes().to_vec())
            .expect("leads");
        simulation.step();
    }
    simulation.run_for(SECOND);
}

#[test]
fn a_lost_voter_is_replaced_by_an_empty_disk_before_a_second_loss() {
    let (mut simulation, leader) = group_with_only_leader(3);
    propose(&mut simulation, leader, 50);
    simulation
        .machines
        .get_mut(&leader)
        .expect("machine")
        .save_snapshot();
    let lost = simulation.others(leader)[0];
    simulation.machines.remove(&lost);
    let standby = simulation.add_machine(None);
    change(&mut simulation, leader, VoterChange::AddLearner(standby)).expect("added");
    simulation.run_for(SECOND);
    assert_eq!(simulation.status(standby).role, Role::Learner);
    change(&mut simulation, leader, VoterChange::Promote(standby)).expect("promoted");
    simulation.run_for(SECOND);
    change(&mut simulation, leader, VoterChange::Remove(lost)).expect("removed");
    simulation.run_for(SECOND);
    // The second loss follows at once and hits the old leader, whose disk held all entries.
    simulation.machines.remove(&leader);
    simulation.run_for(SECOND * 4);
    let next = only_leader(&simulation);
    propose(&mut simulation, next, 5);
    assert!(simulation.status(next).commit_index > 60);
    assert_eq!(simulation.history.snapshots_received, 1);
    assert_eq!(simulation.history.violations, Vec::<String>::new());
}

#[test]
fn one_change_at_a_time_and_none_before_an_entry_of_the_own_term_is_committed() {
    let mut simulation = new_group(SEED, 3);
    let standby = simulation.add_machine(None);
    simulation.run_until(|simulation| !simulation.leaders().is_empty());
    let leader = only_leader(&simulation);
    let add = VoterChange::AddLearner(standby);
    assert_eq!(
        change(&mut simulation, leader, add),
        Err(VoterChangeError::TermNotCommitted)
    );
    simulation.run_for(SECOND);
    change(&mut simulation, leader, add).expect("added");
    let remove = VoterChange::Remove(standby);
    assert_eq!(
        change(&mut simulation, leader, remove),
        Err(VoterChangeError::ChangePending)
    );
    let promote = VoterChange::Promote(standby);
    assert_eq!(
        change(&mut simulation, leader, promote),
        Err(VoterChangeError::ChangePending)
    );
    simulation.run_for(SECOND);
    change(&mut simulation, leader, promote).expect("caught up");
    simulation.run_for(SECOND);
    assert_eq!(simulation.status(leader).voters.len(), 4);
}

#[test]
fn an_unreachable_learner_is_not_promoted() {
    let (mut simulation, leader) = group_with_only_leader(3);
    let standby = simulation.add_machine(None);
    change(&mut simulation, leader, VoterChange::AddLearner(standby)).expect("added");
    simulation.run_for(SECOND);
    simulation.lose_power(standby);
    simulation.run_for(SECOND);
    let promote = VoterChange::Promote(standby);
    assert_eq!(
        change(&mut simulation, leader, promote),
        Err(VoterChangeError::NotCaughtUp)
    );
}

#[test]
fn a_change_that_would_leave_no_reachable_quorum_is_rejected() {
    let (mut simulation, leader) = group_with_only_leader(3);
    let others = simulation.others(leader);
    let (lost, healthy) = (others[0], others[1]);
    simulation.lose_power(lost);
    simulation.run_for(SECOND);
    let remove = VoterChange::Remove(healthy);
    assert_eq!(
        change(&mut simulation, leader, remove),
        Err(VoterChangeError::NoQuorum)
    );
    change(&mut simulation, leader, VoterChange::Remove(lost))
        .expect("the lost voter may be removed");
}

#[test]
fn a_removed_leader_transfers_leadership_and_does_not_campaign() {
    let (mut simulation, leader) = group_with_only_leader(3);
    propose(&mut simulation, leader, 3);
    change(&mut simulation, leader, VoterChange::Remove(leader)).expect("appended");
    simulation.run_for(Duration::from_millis(300));
    let next = only_leader(&simulation);
    assert_ne!(next, leader);
    let term = simulation.status(next).term;
    simulation.run_for(SECOND * 5);
    assert_eq!(simulation.status(next).term, term);
    assert!(simulation.status(leader).removed);
    assert_eq!(simulation.history.violations, Vec::<String>::new());
}

#[test]
fn a_voter_removed_while_partitioned_is_notified_and_does_not_depose_the_leader() {
    let (mut simulation, leader) = group_with_only_leader(3);
    let partitioned = simulation.others(leader)[0];
    simulation.isolate(partitioned);
    simulation.run_for(SECOND);
    change(&mut simulation, leader, VoterChange::Remove(partitioned)).expect("removed");
    simulation.run_for(SECOND * 3);
    let term = simulation.status(leader).term;
    simulation.network.heal();
    simulation.run_for(SECOND * 3);
    assert_eq!(simulation.status(leader).term, term);
    assert_eq!(only_leader(&simulation), leader);
    let removed = simulation.status(partitioned);
    assert!(removed.removed);
    assert_eq!(removed.role, Role::Follower);
    // It may be added again with its old disk and identity.
    change(
        &mut simulation,
        leader,
        VoterChange::AddLearner(partitioned),
    )
    .expect("added");
    simulation.run_for(SECOND);
    change(&mut simulation, leader, VoterChange::Promote(partitioned)).expect("promoted");
    simulation.run_for(SECOND);
    assert!(!simulation.status(partitioned).removed);
}

#[test]
fn a_change_that_a_new_leader_overwrites_is_rolled_back() {
    let (mut simulation, leader) = group_with_only_leader(3);
    simulation.isolate(leader);
    change(&mut simulation, leader, VoterChange::AddLearner(NodeId(77))).expect("appended");
    simulation.run_for(SECOND * 4);
    simulation.network.heal();
    simulation.run_for(SECOND * 2);
    let returned = simulation.status(leader);
    assert_eq!(returned.learners, Vec::new());
    assert!(returned.configuration_committed);
    assert_eq!(simulation.history.violations, Vec::<String>::new());
}
