//! Elections among replicas whose messages and syncs are slow, or that run late.

mod group;

use group::machine::waiting_reply;
use group::network::Weather;
use group::simulation::{Defect, Simulation};
use millford_core::{Duration, NodeId};
use millford_replication::Role;

const SEEDS: u64 = 100;
const SECOND: Duration = Duration::from_secs(1);
/// How long the thread of a replica did not run.
const LATE: Duration = Duration::from_secs(2);
/// A process that was stopped, as long as the users' pages speak of.
const STOPPED: Duration = Duration::from_secs(20);
/// The users' bound for the return of service.
const RETURN: Duration = Duration::from_secs(12);
/// A busy machine: a message and the sync before it take this long at most.
const SLOW: Weather = Weather {
    loss: 0.0,
    repetition: 0.0,
    longest_delay: Duration::from_millis(1000),
};

fn has_working_leader(simulation: &mut Simulation) -> bool {
    let leaders = simulation.leaders();
    leaders.into_iter().any(|leader| {
        let replica = simulation.replica(leader);
        replica.is_some_and(|replica| replica.leads_confirmed())
    })
}

fn time_to_lead(seed: u64) -> Duration {
    let mut simulation = Simulation::new(seed, 3, SLOW, Defect::None);
    let start = simulation.now;
    while !has_working_leader(&mut simulation) && simulation.now.since(start) < SECOND * 60 {
        simulation.step();
    }
    simulation.now.since(start)
}

#[test]
fn a_leader_is_found_in_time_although_answers_are_slower_than_the_timeouts() {
    let times = (0..SEEDS).map(time_to_lead);
    let mut times: Vec<Duration> = times.collect();
    times.sort();
    let worst = *times.last().expect("seeds");
    assert!(
        worst <= RETURN,
        "half {:?}, worst {worst:?}",
        times[times.len() / 2]
    );
}

/// A group of three with a leader, and one of its followers.
fn led_group(seed: u64) -> (Simulation, NodeId, NodeId) {
    let mut simulation = Simulation::new(seed, 3, Weather::CALM, Defect::None);
    simulation.run_for(SECOND * 3);
    let leader = simulation.leaders()[0];
    let mut nodes = simulation.machines.keys().copied();
    let follower = nodes.find(|node| *node != leader).expect("three");
    (simulation, leader, follower)
}

#[test]
fn a_replica_that_ran_late_does_not_campaign_before_it_heard_its_queue() {
    for seed in 0..SEEDS {
        let (mut simulation, leader, follower) = led_group(seed);
        let late = simulation.now + LATE;
        let replica = simulation.replica(follower).expect("runs");
        replica.defer_election_deadline(late, LATE);
        replica.tick(late);
        assert_eq!(replica.status().leader, leader, "seed {seed}");
        // A leader that stays silent is missed all the same.
        replica.tick(late + SECOND * 2);
        assert_eq!(replica.status().role, Role::PreCandidate, "seed {seed}");
    }
}

/// The first thing that a stopped leader takes may be a message: it steps down and sets its timer anew, at a
/// time that is no part of the stall.
#[test]
fn a_leader_that_was_stopped_and_steps_down_on_a_message_campaigns_in_time() {
    for seed in 0..SEEDS {
        let (mut simulation, leader, follower) = led_group(seed);
        let late = simulation.now + STOPPED;
        let replica = simulation.replica(leader).expect("runs");
        let term = replica.status().term;
        replica.step(late, waiting_reply(follower, leader, term));
        assert_eq!(replica.status().role, Role::Follower, "seed {seed}");
        replica.defer_election_deadline(late, STOPPED);
        replica.tick(late);
        replica.tick(late + SECOND * 2);
        assert_eq!(replica.status().role, Role::PreCandidate, "seed {seed}");
    }
}
