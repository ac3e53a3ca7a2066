//! Exhaustive exploration of a group of three real replicas, to a bounded depth.
//!
//! Every order of timeouts, deliveries, crashes and a proposal is tried; a message that is never
//! delivered is a lost one, and one may be delivered twice. A situation that was seen before, in
//! whatever order it came about, is not explored again. Each replica has a clock of its own that
//! moves at its timeouts only.

mod group;

use std::collections::HashSet;

use group::simulation::Defect;
use group::world::{Action, NODES, World};

/// How often each kind of action may happen in one run.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    depth: usize,
    timeouts: usize,
    crashes: usize,
    proposals: usize,
    duplicates: usize,
}

/// How often each bounded kind of action happened in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct ActionCounts {
    timeouts: usize,
    crashes: usize,
    proposals: usize,
    duplicates: usize,
}

impl ActionCounts {
    fn of(path: &[Action]) -> Self {
        let mut counts = Self::default();
        for action in path {
            match action {
                Action::Timeout(_) => counts.timeouts += 1,
                Action::Crash(_) => counts.crashes += 1,
                Action::Propose(_) => counts.proposals += 1,
                Action::Duplicate(_) => counts.duplicates += 1,
                Action::Deliver(_) => {}
            }
        }
        counts
    }
}

/// What may happen next, given what has happened.
fn actions(world: &World, counts: ActionCounts, bounds: Bounds) -> Vec<Action> {
    let mut actions: Vec<Action> = (0..world.in_transit.len()).map(Action::Deliver).collect();
    if counts.duplicates < bounds.duplicates {
        actions.extend((0..world.in_transit.len()).map(Action::Duplicate));
    }
    let positions = 0..NODES.len();
    if counts.timeouts < bounds.timeouts {
        actions.extend(positions.clone().map(Action::Timeout));
    }
    if counts.crashes < bounds.crashes {
        actions.extend(positions.clone().map(Action::Crash));
    }
    if counts.proposals < bounds.proposals {
        let leaders = positions.filter(|position| world.leads(*position));
        actions.extend(leaders.map(Action::Propose));
    }
    actions
}

/// What an exploration found.
#[derive(Debug, Default)]
struct Findings {
    situations: usize,
    elected: usize,
    committed: usize,
    violation: Option<String>,
}

/// Explores breadth first, so that a violation comes with a shortest run.
fn explore(prefix: &[Action], bounds: Bounds, defect: Defect) -> Findings {
    let mut findings = Findings::default();
    let mut seen = HashSet::new();
    let mut paths = vec![prefix.to_vec()];
    for _ in 0..=bounds.depth {
        let mut next_paths = Vec::new();
        for path in paths {
            let world = World::run(&path, defect);
            let counts = ActionCounts::of(&path[prefix.len()..]);
            // The same situation with more actions left is another one.
            if !seen.insert((world.fingerprint(), counts)) {
                continue;
            }
            findings.record(&world, &path);
            if findings.violation.is_some() {
                return findings;
            }
            for action in actions(&world, counts, bounds) {
                let mut longer = path.clone();
                longer.push(action);
                next_paths.push(longer);
            }
        }
        paths = next_paths;
    }
    findings
}

impl Findings {
    fn record(&mut self, world: &World, path: &[Action]) {
        self.situations += 1;
        self.elected += usize::from(world.history.elections > 0);
        self.committed += usize::from(world.history.committed_index() > 1);
        if let Some(violation) = world.history.violations.first() {
            self.violation = Some(format!("{violation} after {path:?}"));
        }
    }
}

/// Depth of the explorations; `MILLFORD_DEPTH` adds to it.
fn depth(usual: usize) -> usize {
    let more = std::env::var("MILLFORD_DEPTH").ok();
    usual + more.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// More deliveries than an election and its first entry take.
const STABILISING_DELIVERIES: usize = 40;

/// Times one replica out and delivers everything until nothing is in transit.
fn stable(first: Action) -> Vec<Action> {
    let mut path = vec![first];
    for _ in 0..STABILISING_DELIVERIES {
        if World::run(&path, Defect::None).in_transit.is_empty() {
            return path;
        }
        path.push(Action::Deliver(0));
    }
    panic!("the group does not come to rest");
}

/// A stable leader whose next proposal has reached one of the two others, unanswered.
fn half_replicated() -> Vec<Action> {
    let mut path = stable(Action::Timeout(0));
    path.extend([Action::Propose(0), Action::Deliver(0)]);
    path
}

fn assert_holds(findings: &Findings) {
    println!("{findings:?}");
    assert_eq!(findings.violation, None);
    assert!(findings.elected > 0 && findings.committed > 0);
}

#[test]
fn elections_from_the_start() {
    let bounds = Bounds {
        depth: depth(9),
        timeouts: 2,
        crashes: 1,
        proposals: 1,
        duplicates: 0,
    };
    assert_holds(&explore(&[], bounds, Defect::None));
}

#[test]
fn duplicated_messages_from_the_start() {
    let bounds = Bounds {
        depth: depth(8),
        timeouts: 2,
        crashes: 0,
        proposals: 1,
        duplicates: 1,
    };
    assert_holds(&explore(&[], bounds, Defect::None));
}

#[test]
fn a_leader_change_with_an_entry_half_replicated() {
    let bounds = Bounds {
        depth: depth(6),
        timeouts: 3,
        crashes: 1,
        proposals: 1,
        duplicates: 0,
    };
    assert_holds(&explore(&half_replicated(), bounds, Defect::None));
}

#[test]
fn a_forgotten_vote_is_found() {
    let bounds = Bounds {
        depth: 9,
        timeouts: 2,
        crashes: 1,
        proposals: 0,
        duplicates: 0,
    };
    let violation = explore(&[], bounds, Defect::ForgottenVotes)
        .violation
        .expect("found");
    assert!(violation.contains("voted for"), "{violation}");
}
