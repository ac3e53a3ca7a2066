//! All orders of a partition, a stall and a disk loss in a group of three voters, where each fault
//! affects a different voter. After the partition has healed and the stalled process has resumed,
//! the two remaining voters must serve again in time, and committed entries must not change.
//!
//! Any of the three voters may have been the leader. The disk loss is permanent.

mod group;

use group::fixture::group_with_leader;
use group::machine::queued_reply;
use group::simulation::Simulation;
use millford_core::{Duration, MonotonicTime, NodeId};

const SEED: u64 = 7;
/// Required upper bound on the time until the group serves again.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Delay before each event: shorter than an election, or longer than several.
const DELAYS: [Duration; 2] = [Duration::from_millis(400), Duration::from_secs(4)];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Partition,
    Heal,
    Stall,
    Resume,
    LoseDisk,
}

/// Directions in which the partitioned voter's links are blocked.
#[derive(Clone, Copy, Debug)]
enum Direction {
    Both,
    /// The voter receives no messages, but its own are delivered.
    Inbound,
}

/// First input of a stalled process when it resumes.
#[derive(Clone, Copy, Debug)]
enum FirstInput {
    Message,
    Tick,
}

/// The node that each fault affects.
#[derive(Clone, Copy, Debug)]
struct Assignment {
    partitioned: NodeId,
    stalled: NodeId,
    wiped: NodeId,
}

#[derive(Clone, Copy, Debug)]
struct Variant {
    delay: Duration,
    direction: Direction,
    first_input: FirstInput,
}

const EVENTS: [Event; 5] = [
    Event::Partition,
    Event::Heal,
    Event::Stall,
    Event::Resume,
    Event::LoseDisk,
];

/// Returns all orders of the events in which each fault begins before it ends.
fn orders() -> Vec<Vec<Event>> {
    let mut orders = vec![Vec::new()];
    for _ in 0..EVENTS.len() {
        orders = orders.iter().flat_map(|order| extensions(order)).collect();
    }
    orders
}

/// Returns `order` extended by each event that may follow it.
fn extensions(order: &[Event]) -> Vec<Vec<Event>> {
    let has = |event: Event| order.contains(&event);
    let may_follow = |event: &Event| match event {
        Event::Heal => has(Event::Partition),
        Event::Resume => has(Event::Stall),
        Event::Partition | Event::Stall | Event::LoseDisk => true,
    };
    let next = EVENTS.iter().filter(|event| !has(**event));
    let extended = next.filter(|event| may_follow(event)).map(|event| {
        let mut extended = order.to_vec();
        extended.push(*event);
        extended
    });
    extended.collect()
}

/// Returns all assignments of the three faults to distinct voters.
fn assignments(nodes: [NodeId; 3]) -> Vec<Assignment> {
    let mut all = Vec::new();
    for partitioned in nodes {
        for stalled in nodes {
            for wiped in nodes {
                if partitioned != stalled && stalled != wiped && partitioned != wiped {
                    all.push(Assignment {
                        partitioned,
                        stalled,
                        wiped,
                    });
                }
            }
        }
    }
    all
}

fn variants() -> Vec<Variant> {
    let mut all = Vec::new();
    for delay in DELAYS {
        for direction in [Direction::Both, Direction::Inbound] {
            for first_input in [FirstInput::Message, FirstInput::Tick] {
                all.push(Variant {
                    delay,
                    direction,
                    first_input,
                });
            }
        }
    }
    all
}

/// Length of a stall that the test ends itself: longer than any run.
const UNTIL_RESUMED: Duration = Duration::from_secs(100_000);

struct Outage {
    simulation: Simulation,
    assignment: Assignment,
    variant: Variant,
    stalled_at: MonotonicTime,
}

impl Outage {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Partition => self.partition(),
            Event::Heal => self.simulation.network.heal(),
            Event::Stall => self.stall(),
            Event::Resume => self.resume(),
            Event::LoseDisk => {
                self.simulation.machines.remove(&self.assignment.wiped);
            }
        }
    }

    fn partition(&mut self) {
        let node = self.assignment.partitioned;
        for other in [self.assignment.stalled, self.assignment.wiped] {
            self.simulation.network.block(other, node);
            if matches!(self.variant.direction, Direction::Both) {
                self.simulation.network.block(node, other);
            }
        }
    }

    fn stall(&mut self) {
        self.stalled_at = self.simulation.now;
        let until = self.simulation.now + UNTIL_RESUMED;
        let machine = self.simulation.machines.get_mut(&self.assignment.stalled);
        machine.expect("not wiped").stalled_until = until;
    }

    /// Resumes the stalled process as a replica's owner does: it defers the election deadline
    /// before the first tick.
    fn resume(&mut self) {
        let now = self.simulation.now;
        let (node, peer) = (self.assignment.stalled, self.assignment.partitioned);
        let machine = self.simulation.machines.get_mut(&node).expect("not wiped");
        machine.stalled_until = MonotonicTime::ZERO;
        let replica = machine.replica.as_mut().expect("runs");
        if matches!(self.variant.first_input, FirstInput::Message) {
            let term = replica.status().term;
            replica.step(now, queued_reply(peer, node, term));
        }
        replica.defer_election_deadline(now, now.since(self.stalled_at));
        replica.tick(now);
    }

    /// Proposes an entry on each leader, so that logs differ in length.
    fn propose(&mut self) {
        for leader in self.simulation.leaders() {
            if let Some(replica) = self.simulation.replica(leader) {
                let _ = replica.propose(b"entry".to_vec());
            }
        }
    }

    fn serves(&mut self) -> bool {
        let leaders = self.simulation.leaders();
        leaders.into_iter().any(|leader| {
            let replica = self.simulation.replica(leader);
            replica.is_some_and(|replica| replica.leads_confirmed())
        })
    }
}

/// Applies the events in order and returns the time from the last one until the group serves again.
fn time_to_serve(order: &[Event], position: usize, variant: Variant) -> Duration {
    let (simulation, leader) = group_with_leader(SEED, 3);
    let others = simulation.others(leader);
    let nodes = [leader, others[0], others[1]];
    let mut outage = Outage {
        stalled_at: simulation.now,
        assignment: assignments(nodes)[position],
        simulation,
        variant,
    };
    for event in order {
        outage.propose();
        outage.simulation.run_for(variant.delay);
        outage.apply(*event);
    }
    let start = outage.simulation.now;
    while !outage.serves() && outage.simulation.now.since(start) < RECOVERY_BOUND * 2 {
        outage.simulation.step();
    }
    let elapsed = outage.simulation.now.since(start);
    // Entries that the new leader commits must not replace committed ones.
    outage.propose();
    outage.simulation.run_for(Duration::from_secs(1));
    outage.simulation.check_logs();
    let violations = &outage.simulation.history.violations;
    assert!(violations.is_empty(), "{violations:?} after {order:?}");
    elapsed
}

#[test]
fn the_two_remaining_voters_serve_again_after_any_order_of_events() {
    let orders = orders();
    assert_eq!(orders.len(), 30);
    let mut worst = Duration::ZERO;
    for order in &orders {
        for position in 0..6 {
            for variant in variants() {
                let elapsed = time_to_serve(order, position, variant);
                assert!(
                    elapsed < RECOVERY_BOUND,
                    "{elapsed:?} after {order:?}, assignment {position}, {variant:?}"
                );
                worst = worst.max(elapsed);
            }
        }
    }
    println!("longest time until the group served again: {worst:?}");
}
