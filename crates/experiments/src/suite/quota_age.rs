//! Experiment `quota-age`: accuracy of quota enforcement and its cost in datagrams, at four fleet sizes.

use crate::quota_age::fleet_quota::allowed;
use crate::quota_age::owner_fleet::REPORT_INTERVAL_STEPS;
use crate::quota_age::{Admissions, OwnerFleet, PeerFleet};
use crate::report::{Report, Table, number, percent};

/// Numbers of nodes and zones of each fleet, in the proportions of known deployments.
pub const FLEETS: [(usize, usize); 4] = [(10, 2), (86, 3), (300, 7), (1000, 7)];

/// Simulated time of each run, in seconds.
const SECONDS: u64 = 12;
/// Request rate of a hot tenant, as a multiple of its quota.
const HOT: f64 = 6.0;
/// Request rate of a tenant that stays under its quota, as a multiple of the quota.
const UNDER: f64 = 0.9;
/// Number of peers that a node reports to in one interval when reports rotate over the peers.
const ROTATING_FANOUT: usize = 24;
/// Largest fleet that is simulated with broadcast reports, whose number grows with the square of the nodes.
const MAX_BROADCAST_NODES: usize = 300;

/// Way in which nodes share their usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageSharing {
    /// Every node reports to all others every 100 ms.
    Broadcast,
    /// Every node reports to the next 24 peers every 100 ms.
    RotatingPeers,
    /// Nodes request tokens from the owners in their zone; owners report their usage to each other.
    Owners {
        /// Interval of the owners' usage reports, in steps.
        report_interval_steps: usize,
    },
}

/// Sharing through owners with the report interval of the product.
pub const OWNERS: UsageSharing = UsageSharing::Owners {
    report_interval_steps: REPORT_INTERVAL_STEPS,
};

/// Results for a tenant over its quota and for one under it.
#[derive(Clone, Debug)]
pub struct QuotaAgeOutcome {
    /// Admissions of a tenant that requests six times its quota.
    pub hot: Admissions,
    /// Admissions of a tenant at 90% of its quota.
    pub under: Admissions,
}

/// Simulates a fleet with a hot tenant, and again with a tenant under its quota.
#[must_use]
pub fn simulate_fleet(
    seed: u64,
    (nodes, zones): (usize, usize),
    sharing: UsageSharing,
) -> QuotaAgeOutcome {
    QuotaAgeOutcome {
        hot: admissions(seed, nodes, zones, sharing, HOT),
        under: admissions(seed, nodes, zones, sharing, UNDER),
    }
}

fn admissions(
    seed: u64,
    nodes: usize,
    zones: usize,
    sharing: UsageSharing,
    times: f64,
) -> Admissions {
    let fanout = match sharing {
        UsageSharing::Owners {
            report_interval_steps,
        } => {
            let mut fleet = OwnerFleet::new(zones, nodes / zones, seed);
            fleet.report_interval_steps = report_interval_steps;
            fleet.send_requests(SECONDS, times);
            return fleet.admissions;
        }
        UsageSharing::Broadcast => nodes,
        UsageSharing::RotatingPeers => ROTATING_FANOUT,
    };
    let mut fleet = PeerFleet::new(nodes, fanout, seed);
    fleet.send_requests(SECONDS, times);
    fleet.admissions
}

/// Runs the experiment with the seeds from 1 to `seeds` and returns its report.
#[must_use]
pub fn run(seeds: u64) -> Report {
    let mut report = Report::new("quota-age", seeds);
    report.note(
        "One tenant. Hot: it requests six times its rate; most tokens admitted in 8 s, as a share of \
         those allowed.",
    );
    report.note(
        "Under: it requests nine tenths of its rate; share of requests refused. Datagrams: per node \
         and second, hot and under together.",
    );
    for size in FLEETS {
        let title = format!("{} nodes, {} zones", size.0, size.1);
        let columns = ["counts", "hot: most in 8 s", "under: refused", "datagrams"];
        let mut table = Table::new(&title, &columns);
        for (name, sharing) in sharings(size.0) {
            let outcomes: Vec<QuotaAgeOutcome> = (1..=seeds)
                .map(|seed| simulate_fleet(seed, size, sharing))
                .collect();
            table.add(row(name, size.0, &outcomes));
        }
        report.tables.push(table);
    }
    report
}

fn sharings(nodes: usize) -> Vec<(&'static str, UsageSharing)> {
    let mut sharings = Vec::new();
    if nodes <= MAX_BROADCAST_NODES {
        sharings.push(("told to everybody, each 100 ms", UsageSharing::Broadcast));
    }
    sharings.push((
        "told in turns of 24, each 100 ms",
        UsageSharing::RotatingPeers,
    ));
    let owners = |report_interval_steps| UsageSharing::Owners {
        report_interval_steps,
    };
    sharings.push(("two owners in each zone, told each 20 ms", OWNERS));
    sharings.push(("the same, each 10 ms", owners(REPORT_INTERVAL_STEPS / 2)));
    sharings.push(("the same, each 40 ms", owners(REPORT_INTERVAL_STEPS * 2)));
    sharings.push(("the same, each 200 ms", owners(REPORT_INTERVAL_STEPS * 10)));
    sharings
}

fn row(name: &str, nodes: usize, outcomes: &[QuotaAgeOutcome]) -> Vec<String> {
    let shares = outcomes
        .iter()
        .map(|outcome| outcome.hot.max_tokens_in_window() as f64 / allowed() as f64);
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
