//! Experiment `affinity`: use of prefix caches under session and prefix affinity, with skewed traffic and a backend
//! failure.

use millford_backend_model::{BackendOptions, ModelProfile};
use millford_core::{Duration, MonotonicTime};

use crate::fleet::{
    Fault, FaultKind, FleetOptions, HostOptions, ModelLoad, Policy, RetryRules, Workload,
};
use crate::report::{Chart, Report, Series, Table, number, percent};
use crate::suite::parallel::simulate_all;
use crate::suite::site::{good_share_by_second, host, plain_fleet};
use crate::suite::summary::Summary;

const POLICIES: [Policy; 5] = [
    Policy::Random,
    Policy::HostTotal,
    Policy::PureHash,
    Policy::MillfordWithoutAffinity,
    Policy::Millford,
];
const HOSTS: usize = 12;
/// Capacity of a backend's prefix cache, in blocks; a fraction of the blocks of all prompts.
const CACHE_BLOCKS: usize = 1200;
const LOST_AT: MonotonicTime = MonotonicTime::from_millis(40_000);
const BACK_AT: MonotonicTime = MonotonicTime::from_millis(60_000);

/// Runs the experiment with the seeds from 1 to `seeds` and returns its report.
#[must_use]
pub fn run(seeds: u64) -> Report {
    let mut report = Report::new("affinity", seeds);
    report.note("12 backends, one heavy model, prefix cache of 1,200 blocks each; backend 0 is lost from 40 s to 60 s.");
    report.note(
        "In every row, the retry budget allows one retry of a request whose backend is lost.",
    );
    for (title, load) in [
        (
            "Sessions of up to eight turns over 200 shared prefixes",
            sessions(),
        ),
        ("300 shared prefixes, evenly used", prefixes(0.0, 40.0)),
        (
            "300 shared prefixes, skewed (Zipf 1.2): a hot tenant",
            prefixes(1.2, 40.0),
        ),
    ] {
        let summaries = simulate_policies(&load, seeds);
        report.tables.push(table(title, &summaries));
        if report.charts.is_empty() {
            report.charts.push(chart(&summaries));
        }
    }
    report
}

fn sessions() -> ModelLoad {
    ModelLoad {
        model: "heavy",
        rate: 34.0,
        prompt_median: 2000.0,
        spread: 0.5,
        output_median: 100.0,
        prefixes: 200,
        skew: 1.0,
        prefix_tokens: 1024,
        session_share: 0.7,
    }
}

fn prefixes(skew: f64, rate: f64) -> ModelLoad {
    ModelLoad {
        model: "heavy",
        rate,
        prompt_median: 2000.0,
        spread: 0.5,
        output_median: 100.0,
        prefixes: 300,
        skew,
        prefix_tokens: 1536,
        session_share: 0.0,
    }
}

fn simulate_policies(load: &ModelLoad, seeds: u64) -> Vec<(Policy, Summary)> {
    let mut fleets = Vec::new();
    for policy in POLICIES {
        for seed in 1..=seeds {
            fleets.push(fleet(seed, policy, load.clone()));
        }
    }
    let results = simulate_all(&fleets);
    let chunks = results.chunks(seeds.max(1) as usize);
    POLICIES.into_iter().zip(chunks.map(Summary::of)).collect()
}

fn fleet(seed: u64, policy: Policy, load: ModelLoad) -> FleetOptions {
    let workload = Workload {
        loads: vec![load],
        changes: Vec::new(),
    };
    let hosts = (0..HOSTS).map(|_| small_cache_host()).collect();
    FleetOptions {
        retries: RetryRules {
            max_attempts: 2,
            ejects: true,
            ..RetryRules::none()
        },
        faults: vec![
            Fault {
                at: LOST_AT,
                kind: FaultKind::Kill { host: 0 },
            },
            Fault {
                at: BACK_AT,
                kind: FaultKind::Restart { host: 0 },
            },
        ],
        warm_up: Duration::from_secs(20),
        length: Duration::from_secs(90),
        ..plain_fleet(seed, policy, hosts, workload)
    }
}

fn small_cache_host() -> HostOptions {
    let plain = host(&[("heavy", ModelProfile::heavy())]);
    HostOptions {
        backend: BackendOptions {
            cache_blocks: CACHE_BLOCKS,
            ..plain.backend
        },
        ..plain
    }
}

fn table(title: &str, summaries: &[(Policy, Summary)]) -> Table {
    let columns = [
        "policy",
        "cached tokens",
        "first token p50 ms",
        "p99 ms",
        "timeouts",
        "cut streams",
        "tail util",
        "second sends",
    ];
    let mut table = Table::new(title, &columns);
    for (policy, summary) in summaries {
        table.add(vec![
            policy.name().to_owned(),
            percent(summary.pooled.cached_share()),
            number(summary.pooled.first_token_ms(0.5), 0),
            number(summary.pooled.first_token_ms(0.99), 0),
            percent(summary.pooled.timeout_rate()),
            summary.pooled.truncated.to_string(),
            percent(summary.tail_utilization),
            percent(summary.pooled.retry_share()),
        ]);
    }
    table
}

fn chart(summaries: &[(Policy, Summary)]) -> Chart {
    let series = summaries
        .iter()
        .map(|(policy, summary)| Series::new(policy.name(), good_share_by_second(&summary.pooled)));
    Chart {
        name: "affinity".to_owned(),
        title: "Requests answered in time, sessions, a backend lost from 40 s to 60 s".to_owned(),
        x_label: "second of arrival".to_owned(),
        y_label: "share with a first token in time".to_owned(),
        series: series.collect(),
    }
}
