//! Experiment `load-age`: effect of the age of shared load counts on the choice of backends, at three fleet sizes.

use millford_core::Duration;

use crate::load_age::{LoadAgeOptions, LoadAgeOutcome, Sharing, simulate};
use crate::report::{Report, Table, number, percent};

/// Numbers of nodes and backends of each fleet, in the proportions of known deployments.
pub const FLEETS: [(usize, usize); 3] = [(10, 8), (86, 60), (300, 250)];

/// Mean utilization of the backends.
pub const UTILIZATION: f64 = 0.7;

/// Increase of the broadcast period per node, as in the broadcast protocol that preceded the queries to owners.
const PERIOD_PER_NODE: Duration = Duration::from_millis(8);
/// Shortest broadcast period.
const SHORTEST_PERIOD: Duration = Duration::from_millis(100);
/// Time of a query and its reply across zones, including processing on both nodes.
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// Simulated time during which requests arrive.
const LENGTH: Duration = Duration::from_secs(40);

/// Returns the broadcast period of a fleet with this many nodes.
#[must_use]
pub fn period(nodes: usize) -> Duration {
    let peers = u32::try_from(nodes).unwrap_or(u32::MAX);
    SHORTEST_PERIOD.max(PERIOD_PER_NODE * peers)
}

/// Returns the options of a fleet with these numbers of nodes and backends.
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

/// Returns sharing through owners in which `drawn` backends are queried for each request.
#[must_use]
pub fn owners(drawn: usize) -> Sharing {
    Sharing::Owners {
        drawn,
        round_trip: ROUND_TRIP,
    }
}

/// Runs the experiment with the seeds from 1 to `seeds` and returns its report.
#[must_use]
pub fn run(seeds: u64) -> Report {
    let mut report = Report::new("load-age", seeds);
    report.note("Backends 70% busy read prompts of 150 ms (three in eight) and 20 ms in order.");
    report.note(
        "Late: first token after 800 ms. Regret: work on the chosen backend beyond that on the \
         least loaded one.",
    );
    for size in FLEETS {
        let (nodes, backends) = size;
        let title = format!("{nodes} nodes, {backends} backends");
        let columns = ["counts", "late", "p50 ms", "p99 ms", "mean regret ms"];
        let mut table = Table::new(&title, &columns);
        for (name, sharing) in sharing_modes(nodes) {
            let outcomes = (1..=seeds).map(|seed| simulate(&fleet(seed, size, sharing)));
            table.add(row(&name, &pooled(outcomes)));
        }
        report.tables.push(table);
    }
    report
}

fn sharing_modes(nodes: usize) -> Vec<(String, Sharing)> {
    let period = period(nodes);
    let mut sharing_modes = vec![
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
    let owner_modes =
        [2, 4, 8].map(|drawn| (format!("owners, {drawn} asked about"), owners(drawn)));
    sharing_modes.extend(owner_modes);
    sharing_modes.push(("true ones of all backends".to_owned(), Sharing::Omniscient));
    sharing_modes
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
