//! Experiment `load-age`: what the age of shared counts costs, at three sizes of fleet.

use millford_core::Duration;

use crate::load_age::{LoadAgeOptions, LoadAgeOutcome, Sharing, simulate};
use crate::report::{Report, Table, number, percent};

/// Nodes and backends of the fleets, in the proportion of the deployments that are known.
pub const FLEETS: [(usize, usize); 3] = [(10, 8), (86, 60), (300, 250)];

/// Share of the backends' time in use.
pub const UTILIZATION: f64 = 0.7;

/// What each peer added to the period while everything was told to everybody.
const PERIOD_FOR_EACH_PEER: Duration = Duration::from_millis(8);
/// The shortest such period.
const SHORTEST_PERIOD: Duration = Duration::from_millis(100);
/// A question and its answer across zones, both nodes' work included.
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// Simulated time.
const LENGTH: Duration = Duration::from_secs(40);

/// The period of everything to everybody at this many nodes.
#[must_use]
pub fn period(nodes: usize) -> Duration {
    let peers = u32::try_from(nodes).unwrap_or(u32::MAX);
    SHORTEST_PERIOD.max(PERIOD_FOR_EACH_PEER * peers)
}

/// One fleet.
#[must_use]
pub fn fleet(seed: u64, (nodes, backends): (usize, usize), sharing: Sharing) -> LoadAgeOptions {
    LoadAgeOptions {
        seed,
        nodes,
        backends,
        utilization: UTILIZATION,
        sharing,
        length: LENGTH,
    }
}

/// The owners' way, with this many backends asked about.
#[must_use]
pub fn owners(drawn: usize) -> Sharing {
    Sharing::Owners {
        drawn,
        round_trip: ROUND_TRIP,
    }
}

/// Runs the experiment.
#[must_use]
pub fn run(seeds: u64) -> Report {
    let mut report = Report::new("load-age", seeds);
    report.note("Backends 70% busy read prompts of 150 ms (three in eight) and 20 ms in order.");
    report.note("Late: first token after 800 ms. Regret: work ahead beyond the idlest backend's.");
    for size in FLEETS {
        let (nodes, backends) = size;
        let title = format!("{nodes} nodes, {backends} backends");
        let columns = ["counts", "late", "p50 ms", "p99 ms", "mean regret ms"];
        let mut table = Table::new(&title, &columns);
        for (name, sharing) in ways(nodes) {
            let outcomes = (1..=seeds).map(|seed| simulate(&fleet(seed, size, sharing)));
            table.add(row(&name, &pooled(outcomes)));
        }
        report.tables.push(table);
    }
    report
}

fn ways(nodes: usize) -> Vec<(String, Sharing)> {
    let period = period(nodes);
    let mut ways = vec![
        ("none, drawn at random".to_owned(), Sharing::Nothing),
        (
            format!("told to everybody, each {} ms", period.as_millis()),
            Sharing::Broadcast { period },
        ),
        (
            "told to everybody, four times as often".to_owned(),
            Sharing::Broadcast { period: period / 4 },
        ),
    ];
    let asked = [2, 4, 8].map(|drawn| (format!("owners, {drawn} asked about"), owners(drawn)));
    ways.extend(asked);
    ways.push(("true ones of all backends".to_owned(), Sharing::Omniscient));
    ways
}

fn pooled(outcomes: impl Iterator<Item = LoadAgeOutcome>) -> LoadAgeOutcome {
    outcomes.fold(LoadAgeOutcome::default(), |mut all, one| {
        all.first_token_ms.extend(one.first_token_ms);
        all.regret_ms.extend(one.regret_ms);
        all
    })
}

fn row(name: &str, outcome: &LoadAgeOutcome) -> Vec<String> {
    vec![
        name.to_owned(),
        percent(outcome.late_share()),
        number(outcome.first_token_quantile(0.5), 0),
        number(outcome.first_token_quantile(0.99), 0),
        number(outcome.mean_regret_ms(), 1),
    ]
}
