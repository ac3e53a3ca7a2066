//! Every order of a cut, a stop and a lost disk over one group of three voters: once the cut has ended and
//! the stopped process goes on, two voters are left, and they must serve again in time.
//!
//! One voter is cut off and reached again, another one is stopped and goes on, the third loses its disk for
//! good; each of them may have been the leader. What was committed stays, whatever the order.

mod group;

use group::machine::waiting_reply;
use group::network::Weather;
use group::simulation::{Defect, Simulation};
use millford_core::{Duration, MonotonicTime, NodeId};

/// The users' bound for the return of service.
const RETURN: Duration = Duration::from_secs(12);
/// Settles the first leader.
const SETTLED: Duration = Duration::from_secs(3);
/// Times between two events: shorter than an election, and longer than several.
const PAUSES: [Duration; 2] = [Duration::from_millis(400), Duration::from_secs(4)];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Cut,
    Heal,
    Stop,
    GoOn,
    LoseDisk,
}

/// Which links of the voter that is cut off fail.
#[derive(Clone, Copy, Debug)]
enum Cut {
    BothWays,
    /// It hears nobody, and is heard.
    Inward,
}

/// What a process that was stopped takes first.
#[derive(Clone, Copy, Debug)]
enum First {
    Message,
    Tick,
}

/// Who is struck by what.
#[derive(Clone, Copy, Debug)]
struct Struck {
    cut_off: NodeId,
    stopped: NodeId,
    wiped: NodeId,
}

#[derive(Clone, Copy, Debug)]
struct Variant {
    pause: Duration,
    cut: Cut,
    first: First,
}

const EVENTS: [Event; 5] = [
    Event::Cut,
    Event::Heal,
    Event::Stop,
    Event::GoOn,
    Event::LoseDisk,
];

/// All orders in which a thing begins before it ends.
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
        Event::Heal => has(Event::Cut),
        Event::GoOn => has(Event::Stop),
        Event::Cut | Event::Stop | Event::LoseDisk => true,
    };
    let next = EVENTS.iter().filter(|event| !has(**event));
    let longer = next.filter(|event| may_follow(event)).map(|event| {
        let mut longer = order.to_vec();
        longer.push(*event);
        longer
    });
    longer.collect()
}

/// Every way to strike three voters.
fn assignments(nodes: [NodeId; 3]) -> Vec<Struck> {
    let mut all = Vec::new();
    for cut_off in nodes {
        for stopped in nodes {
            for wiped in nodes {
                if cut_off != stopped && stopped != wiped && cut_off != wiped {
                    all.push(Struck {
                        cut_off,
                        stopped,
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
    for pause in PAUSES {
        for cut in [Cut::BothWays, Cut::Inward] {
            for first in [First::Message, First::Tick] {
                all.push(Variant { pause, cut, first });
            }
        }
    }
    all
}

/// A process that does not run until it is told to.
const UNTIL_TOLD: Duration = Duration::from_secs(100_000);

struct Outage {
    simulation: Simulation,
    struck: Struck,
    variant: Variant,
    stopped_at: MonotonicTime,
}

impl Outage {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Cut => self.cut(),
            Event::Heal => self.simulation.network.cut.clear(),
            Event::Stop => self.stop(),
            Event::GoOn => self.go_on(),
            Event::LoseDisk => {
                self.simulation.machines.remove(&self.struck.wiped);
            }
        }
    }

    fn cut(&mut self) {
        let node = self.struck.cut_off;
        for other in [self.struck.stopped, self.struck.wiped] {
            self.simulation.network.cut.insert((other, node));
            if matches!(self.variant.cut, Cut::BothWays) {
                self.simulation.network.cut.insert((node, other));
            }
        }
    }

    fn stop(&mut self) {
        self.stopped_at = self.simulation.now;
        let until = self.simulation.now + UNTIL_TOLD;
        let machine = self.simulation.machines.get_mut(&self.struck.stopped);
        machine.expect("not wiped").frozen_until = until;
    }

    /// As a shard's core: a tick first forgives the stall.
    fn go_on(&mut self) {
        let now = self.simulation.now;
        let (node, peer) = (self.struck.stopped, self.struck.cut_off);
        let machine = self.simulation.machines.get_mut(&node).expect("not wiped");
        machine.frozen_until = MonotonicTime::ZERO;
        let replica = machine.replica.as_mut().expect("runs");
        if matches!(self.variant.first, First::Message) {
            let term = replica.status().term;
            replica.step(now, waiting_reply(peer, node, term));
        }
        replica.defer_election_deadline(now, now.since(self.stopped_at));
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
    let mut simulation = Simulation::new(7, 3, Weather::CALM, Defect::None);
    simulation.run_for(SETTLED);
    let leader = simulation.leaders()[0];
    let mut others = simulation.machines.keys().filter(|node| **node != leader);
    let nodes = [leader, *others.next().unwrap(), *others.next().unwrap()];
    let mut outage = Outage {
        stopped_at: simulation.now,
        struck: assignments(nodes)[position],
        simulation,
        variant,
    };
    for event in order {
        outage.propose();
        outage.simulation.run_for(variant.pause);
        outage.apply(*event);
    }
    let start = outage.simulation.now;
    while !outage.serves() && outage.simulation.now.since(start) < RETURN * 2 {
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
fn two_voters_that_are_left_serve_again_after_any_order_of_events() {
    let orders = orders();
    assert_eq!(orders.len(), 30);
    let mut worst = Duration::ZERO;
    for order in &orders {
        for position in 0..6 {
            for variant in variants() {
                let taken = time_to_serve(order, position, variant);
                assert!(
                    taken < RETURN,
                    "{taken:?} after {order:?}, strike {position}, {variant:?}"
                );
                worst = worst.max(taken);
            }
        }
    }
    println!("worst return of service {worst:?}");
}
