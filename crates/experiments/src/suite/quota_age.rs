//! Experiment `quota-age`: how exactly a quota is held, and what that costs, at four sizes of fleet.

use crate::quota_age::fleet_quota::allowed;
use crate::quota_age::owner_fleet::PAUSE_STEPS;
use crate::quota_age::{Admissions, OwnerFleet, PeerFleet};
use crate::report::{Report, Table, number, percent};

/// Nodes and zones of the fleets, in the proportion of the deployments that are known.
pub const FLEETS: [(usize, usize); 4] = [(10, 2), (86, 3), (300, 7), (1000, 7)];

/// Simulated time of each part, in seconds.
const SECONDS: u64 = 12;
/// How much a hot tenant presses on.
const HOT: f64 = 6.0;
/// A tenant that is well under its quota.
const UNDER: f64 = 0.9;
/// Peers that heard a round while news went in turns.
const TURN: usize = 24;
/// Largest fleet in which everybody tells everybody is played: the datagrams grow with the square.
const MOST_TOLD_TO_ALL: usize = 300;

/// How nodes learn what others admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Every node tells all others each 100 ms.
    Everybody,
    /// Every node tells the next 24 peers each 100 ms.
    Turns,
    /// Nodes ask owners in their zone; owners tell each other.
    Owners {
        /// Shortest time between two tellings of an owner, in steps.
        pause_steps: usize,
    },
}

/// The owners' way as the product has it.
pub const OWNERS: Way = Way::Owners {
    pause_steps: PAUSE_STEPS,
};

/// What came of a hot tenant, and of one under its quota.
#[derive(Clone, Debug)]
pub struct QuotaAgeOutcome {
    /// A hot tenant's admissions.
    pub hot: Admissions,
    /// Admissions of a tenant at 90% of its quota.
    pub under: Admissions,
}

/// Plays one fleet.
#[must_use]
pub fn play(seed: u64, (nodes, zones): (usize, usize), way: Way) -> QuotaAgeOutcome {
    QuotaAgeOutcome {
        hot: admissions(seed, nodes, zones, way, HOT),
        under: admissions(seed, nodes, zones, way, UNDER),
    }
}

fn admissions(seed: u64, nodes: usize, zones: usize, way: Way, times: f64) -> Admissions {
    let told_in_round = match way {
        Way::Owners { pause_steps } => {
            let mut fleet = OwnerFleet::new(zones, nodes / zones, seed);
            fleet.pause_steps = pause_steps;
            fleet.press(SECONDS, times);
            return fleet.admissions;
        }
        Way::Everybody => nodes,
        Way::Turns => TURN,
    };
    let mut fleet = PeerFleet::new(nodes, told_in_round, seed);
    fleet.press(SECONDS, times);
    fleet.admissions
}

/// Runs the experiment.
#[must_use]
pub fn run(seeds: u64) -> Report {
    let mut report = Report::new("quota-age", seeds);
    report.note(
        "One tenant. Hot: six times its rate at all nodes; most tokens in 8 s, of those allowed.",
    );
    report.note("Under: nine tenths of its rate; requests refused. Datagrams for both tenants, a node and second.");
    for size in FLEETS {
        let title = format!("{} nodes, {} zones", size.0, size.1);
        let columns = ["counts", "hot: most in 8 s", "under: refused", "datagrams"];
        let mut table = Table::new(&title, &columns);
        for (name, way) in ways(size.0) {
            let outcomes: Vec<QuotaAgeOutcome> =
                (1..=seeds).map(|seed| play(seed, size, way)).collect();
            table.add(row(name, size.0, &outcomes));
        }
        report.tables.push(table);
    }
    report
}

fn ways(nodes: usize) -> Vec<(&'static str, Way)> {
    let mut ways = Vec::new();
    if nodes <= MOST_TOLD_TO_ALL {
        ways.push(("told to everybody, each 100 ms", Way::Everybody));
    }
    ways.push(("told in turns of 24, each 100 ms", Way::Turns));
    let owners = |pause_steps| Way::Owners { pause_steps };
    ways.push(("two owners in each zone, told each 20 ms", OWNERS));
    ways.push(("the same, each 10 ms", owners(PAUSE_STEPS / 2)));
    ways.push(("the same, each 40 ms", owners(PAUSE_STEPS * 2)));
    ways.push(("the same, each 200 ms", owners(PAUSE_STEPS * 10)));
    ways
}

fn row(name: &str, nodes: usize, outcomes: &[QuotaAgeOutcome]) -> Vec<String> {
    let shares = outcomes
        .iter()
        .map(|outcome| outcome.hot.most_in_window() as f64 / allowed() as f64);
    let most = shares.fold(0.0, f64::max);
    let refused = outcomes.iter().map(|outcome| outcome.under.refused_share());
    let refused = refused.fold(0.0, f64::max);
    let datagrams: u64 = outcomes
        .iter()
        .map(|outcome| outcome.hot.datagrams + outcome.under.datagrams)
        .sum();
    let node_seconds = nodes as u64 * SECONDS * outcomes.len() as u64;
    vec![
        name.to_owned(),
        percent(most),
        percent(refused),
        number(datagrams as f64 / node_seconds as f64, 1),
    ]
}
