//! Bounded model checking: explores all states of a group of three real replicas up to a depth.
//!
//! All orders of timeouts, deliveries, crashes and proposals are tried, within bounds for each
//! kind. A message that is never delivered models a lost one, and a message may be delivered twice.
//! A state that was reached before on another path is not explored again. Each replica has its own
//! clock, which advances only at its timeouts.

mod group;

use std::collections::HashSet;

use group::simulation::Defect;
use group::world::{Action, NODES, World};

/// Most actions of each kind on one path.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// Most actions of all kinds.
    depth: usize,
    timeouts: usize,
    crashes: usize,
    proposals: usize,
    duplicates: usize,
}

/// Number of actions of each bounded kind on a path.
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

/// Returns the possible next actions within the bounds.
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

/// Result of an exploration.
#[derive(Debug, Default)]
struct Exploration {
    /// Distinct states reached.
    states: usize,
    /// States after an election.
    elected: usize,
    /// States in which an entry after the initial configuration is committed.
    committed: usize,
    /// The first violation found, with its path.
    violation: Option<String>,
}

/// Explores the states after `prefix` breadth first, so that a violation is reported with a
/// shortest path.
fn explore(prefix: &[Action], bounds: Bounds, defect: Defect) -> Exploration {
    let mut exploration = Exploration::default();
    let mut visited = HashSet::new();
    let mut paths = vec![prefix.to_vec()];
    for _ in 0..=bounds.depth {
        let mut next_paths = Vec::new();
        for path in paths {
            let world = World::run(&path, defect);
            let counts = ActionCounts::of(&path[prefix.len()..]);
            // The same group with other action counts is a distinct state, as other actions may
            // follow.
            if !visited.insert((world.fingerprint(), counts)) {
                continue;
            }
            exploration.record(&world, &path);
            if exploration.violation.is_some() {
                return exploration;
            }
            for action in actions(&world, counts, bounds) {
                let mut extended = path.clone();
                extended.push(action);
                next_paths.push(extended);
            }
        }
        paths = next_paths;
    }
    exploration
}

impl Exploration {
    fn record(&mut self, world: &World, path: &[Action]) {
        self.states += 1;
        self.elected += usize::from(world.history.elections > 0);
        self.committed += usize::from(world.history.committed_index() > 1);
        if let Some(violation) = world.history.violations.first() {
            self.violation = Some(format!("{violation} after {path:?}"));
        }
    }
}

/// Returns the default depth of an exploration plus the number in `MILLFORD_DEPTH`, if set.
fn depth(default: usize) -> usize {
    let extra = std::env::var("MILLFORD_DEPTH").ok();
    default + extra.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// More deliveries than an election and the commit of its first entry take.
const STABILISING_DELIVERIES: usize = 40;

/// Returns a path that begins with `first` and delivers all messages until none is in transit.
fn path_to_quiescence(first: Action) -> Vec<Action> {
    let mut path = vec![first];
    for _ in 0..STABILISING_DELIVERIES {
        if World::run(&path, Defect::None).in_transit.is_empty() {
            return path;
        }
        path.push(Action::Deliver(0));
    }
    panic!("messages are still in transit after {STABILISING_DELIVERIES} deliveries");
}

/// Returns a path to a leader whose proposal has reached one of the two followers, while the reply
/// is still in transit.
fn path_to_half_replicated_entry() -> Vec<Action> {
    let mut path = path_to_quiescence(Action::Timeout(0));
    path.extend([Action::Propose(0), Action::Deliver(0)]);
    path
}

fn assert_safe(exploration: &Exploration) {
    println!("{exploration:?}");
    assert_eq!(exploration.violation, None);
    assert!(exploration.elected > 0 && exploration.committed > 0);
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
    assert_safe(&explore(&[], bounds, Defect::None));
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
    assert_safe(&explore(&[], bounds, Defect::None));
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
    assert_safe(&explore(
        &path_to_half_replicated_entry(),
        bounds,
        Defect::None,
    ));
}

#[test]
fn a_lost_vote_is_detected() {
    let bounds = Bounds {
        depth: 9,
        timeouts: 2,
        crashes: 1,
        proposals: 0,
        duplicates: 0,
    };
    let violation = explore(&[], bounds, Defect::LostVotes)
        .violation
        .expect("detected");
    assert!(violation.contains("voted for"), "{violation}");
}
