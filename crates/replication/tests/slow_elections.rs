//! Elections with slow messages and syncs, or after a process was stalled.

mod group;

use group::fixture::{SECOND, group_with_leader};
use group::machine::queued_reply;
use group::network::NetworkConditions;
use group::simulation::{Defect, Simulation};
use millford_core::{Duration, NodeId};
use millford_replication::Role;

const SEEDS: u64 = 100;
/// Time for which a replica's thread does not run.
const STALL: Duration = Duration::from_secs(2);
/// Longest stall of a process that the requirements name.
const LONG_STALL: Duration = Duration::from_secs(20);
/// Required upper bound on the time until the group serves again.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Conditions of a busy machine: the delay of a message includes the sync before it.
const SLOW: NetworkConditions = NetworkConditions {
    loss: 0.0,
    duplication: 0.0,
    max_delay: Duration::from_secs(1),
};

fn has_confirmed_leader(simulation: &mut Simulation) -> bool {
    let leaders = simulation.leaders();
    leaders.into_iter().any(|leader| {
        let replica = simulation.replica(leader);
        replica.is_some_and(|replica| replica.leads_confirmed())
    })
}

fn time_to_lead(seed: u64) -> Duration {
    let mut simulation = Simulation::new(seed, 3, SLOW, Defect::None);
    let start = simulation.now;
    while !has_confirmed_leader(&mut simulation) && simulation.now.since(start) < SECOND * 60 {
        simulation.step();
    }
    simulation.now.since(start)
}

#[test]
fn a_leader_is_elected_in_time_although_replies_are_slower_than_the_timeouts() {
    let times = (0..SEEDS).map(time_to_lead);
    let mut times: Vec<Duration> = times.collect();
    times.sort();
    let worst = *times.last().expect("seeds");
    assert!(
        worst <= RECOVERY_BOUND,
        "median {:?}, worst {worst:?}",
        times[times.len() / 2]
    );
}

/// Returns a group of three, its leader and one of its followers.
fn group_with_leader_and_follower(seed: u64) -> (Simulation, NodeId, NodeId) {
    let (simulation, leader) = group_with_leader(seed, 3);
    let follower = simulation.others(leader)[0];
    (simulation, leader, follower)
}

#[test]
fn a_stalled_replica_does_not_campaign_before_it_has_processed_its_queue() {
    for seed in 0..SEEDS {
        let (mut simulation, leader, follower) = group_with_leader_and_follower(seed);
        let resumed_at = simulation.now + STALL;
        let replica = simulation.running_replica(follower);
        replica.defer_election_deadline(resumed_at, STALL);
        replica.tick(resumed_at);
        assert_eq!(replica.status().leader, leader, "seed {seed}");
        // The replica does campaign if the leader remains unresponsive.
        replica.tick(resumed_at + SECOND * 2);
        assert_eq!(replica.status().role, Role::PreCandidate, "seed {seed}");
    }
}

/// A stalled leader that first processes a message steps down and resets its election timer. The
/// new deadline is already after the stall, so it must not be postponed by the length of the stall
/// again.
#[test]
fn a_stalled_leader_that_steps_down_on_a_message_campaigns_in_time() {
    for seed in 0..SEEDS {
        let (mut simulation, leader, follower) = group_with_leader_and_follower(seed);
        let resumed_at = simulation.now + LONG_STALL;
        let replica = simulation.running_replica(leader);
        let term = replica.status().term;
        replica.step(resumed_at, queued_reply(follower, leader, term));
        assert_eq!(replica.status().role, Role::Follower, "seed {seed}");
        replica.defer_election_deadline(resumed_at, LONG_STALL);
        replica.tick(resumed_at);
        replica.tick(resumed_at + SECOND * 2);
        assert_eq!(replica.status().role, Role::PreCandidate, "seed {seed}");
    }
}
