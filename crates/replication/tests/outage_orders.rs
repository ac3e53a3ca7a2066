//! Every order of a partition, a stalled process and a lost disk over one group of three voters: once the
//! partition has healed and the stalled process has resumed, two voters remain, and they must serve again in
//! time.
//!
//! One voter is partitioned and heals, another one stalls and resumes, the third loses its disk for good;
//! each of them may have been the leader. What was committed stays, whatever the order.

mod group;

use group::fixture::group_with_leader;
use group::machine::queued_reply;
use group::simulation::Simulation;
use millford_core::{Duration, MonotonicTime, NodeId};

/// Seed of the simulation.
const SEED: u64 = 7;
/// The required bound for the return of service.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Delays before each event: shorter than an election, and longer than several.
const DELAYS: [Duration; 2] = [Duration::from_millis(400), Duration::from_secs(4)];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Partition,
    Heal,
    Stall,
    Resume,
    LoseDisk,
}

/// Which links of the partitioned voter fail.
#[derive(Clone, Copy, Debug)]
enum Direction {
    Both,
    /// It receives nothing; what it sends arrives.
    Inbound,
}

/// First input of a process that resumes.
#[derive(Clone, Copy, Debug)]
enum FirstInput {
    Message,
    Tick,
}

/// Which node gets which fault.
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

/// All orders in which a fault begins before it ends.
fn orders() -> Vec<Vec<Event>> {
    let mut orders = vec![Vec::new()];
    for _ in 0..EVENTS.len() {
        orders = orders
            .iter()
            .flat_map(|order| longer_by_one(order))
            .collect();
    }
    orders
}

fn longer_by_one(order: &[Event]) -> Vec<Vec<Event>> {
    let has = |event: Event| order.contains(&event);
    let may_follow = |event: &Event| match event {
        Event::Heal => has(Event::Partition),
        Event::Resume => has(Event::Stall),
        Event::Partition | Event::Stall | Event::LoseDisk => true,
    };
    let next = EVENTS.iter().filter(|event| !has(**event));
    let longer = next.filter(|event| may_follow(event)).map(|event| {
        let mut longer = order.to_vec();
        longer.push(*event);
        longer
    });
    longer.collect()
}

/// Every way to assign the faults to three voters.
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

/// A stall that only the test ends.
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
        machine.expect("not wiped").frozen_until = until;
    }

    /// As the owner does it: a tick defers the election deadline first.
    fn resume(&mut self) {
        let now = self.simulation.now;
        let (node, peer) = (self.assignment.stalled, self.assignment.partitioned);
        let machine = self.simulation.machines.get_mut(&node).expect("not wiped");
        machine.frozen_until = MonotonicTime::ZERO;
        let replica = machine.replica.as_mut().expect("runs");
        if matches!(self.variant.first_input, FirstInput::Message) {
            let term = replica.status().term;
            replica.step(now, queued_reply(peer, node, term));
        }
        replica.defer_election_deadline(now, now.since(self.stalled_at));
        replica.tick(now);
    }

    /// Proposes something on whoever leads, so that logs differ in length.
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

/// Plays one order; the time until the group serves again.
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
    let taken = outage.simulation.now.since(start);
    // What the new leader commits must not replace what was committed before.
    outage.propose();
    outage.simulation.run_for(Duration::from_secs(1));
    outage.simulation.check_logs();
    let violations = &outage.simulation.history.violations;
    assert!(violations.is_empty(), "{violations:?} after {order:?}");
    taken
}

#[test]
fn the_two_remaining_voters_serve_again_after_any_order_of_events() {
    let orders = orders();
    assert_eq!(orders.len(), 30);
    let mut worst = Duration::ZERO;
    for order in &orders {
        for position in 0..6 {
            for variant in variants() {
                let taken = time_to_serve(order, position, variant);
                assert!(
                    taken < RECOVERY_BOUND,
                    "{taken:?} after {order:?}, assignment {position}, {variant:?}"
                );
                worst = worst.max(taken);
            }
        }
    }
    println!("worst return of service {worst:?}");
}
