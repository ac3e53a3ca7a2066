//! Experiment `balance`: the project's choice of backends compared with other load balancing policies.

use crate::fleet::{FleetOptions, HostOptions, ModelLoad, Policy, Workload};
use crate::report::{Chart, Report, Series, Table, number, percent};
use crate::suite::parallel::simulate_all;
use crate::suite::site::{
    FIRST_TOKEN_TARGET_MS, heavy_load, light_load, mixed_hosts, plain_fleet, six_model_hosts,
    six_model_loads,
};
use crate::suite::summary::Summary;

/// Compared policies, in the order of the tables.
const POLICIES: [Policy; 7] = [
    Policy::RoundRobin,
    Policy::HostTotal,
    Policy::HostTotalLeast,
    Policy::StaleReported,
    Policy::MillfordWithoutAffinity,
    Policy::Millford,
    Policy::Oracle,
];
/// Baseline of the comparison; the published figures of the source are relative to it.
const BASELINE: Policy = Policy::HostTotal;
/// Load factors of the sweep, relative to the base rates.
const FACTORS: [f64; 6] = [0.5, 0.6, 0.7, 0.8, 0.9, 1.0];
/// Load factor at which the policies are compared in detail.
const COMPARED_FACTOR: f64 = 0.9;
/// Base rate of the heavy model, in requests per second.
const HEAVY_RATE: f64 = 75.0;
/// Base rate of the light model, in requests per second.
const LIGHT_RATE: f64 = 200.0;
/// Base rate of the heaviest of the six models, in requests per second.
const SIX_MODELS_HEAVY_RATE: f64 = 21.0;

/// Runs the experiment with the seeds from 1 to `seeds` and returns its report.
#[must_use]
pub fn run(seeds: u64) -> Report {
    let mut report = Report::new("balance", seeds);
    report.note("24 backends of 16 cores: 8 with a heavy model, 8 with a light one, 8 with both; 8 proxies.");
    report.note("First-token limit 3 s; a request without a first token by then is a timeout.");
    for site in [two_models(), six_models()] {
        let sweep = sweep(&site, seeds);
        report.tables.push(comparison(&sweep));
        report.tables.push(capacity(&sweep));
        report.tables.push(against_source(&sweep));
        report.charts.push(chart(&sweep));
    }
    report
}

/// Backends and loads under which the policies are compared.
struct Site {
    name: &'static str,
    chart: &'static str,
    hosts: Vec<HostOptions>,
    loads: Vec<ModelLoad>,
}

impl Site {
    fn rate(&self) -> f64 {
        self.loads.iter().map(|load| load.rate).sum()
    }
}

fn two_models() -> Site {
    Site {
        name: "two models",
        chart: "balance-two-models",
        hosts: mixed_hosts(),
        loads: vec![heavy_load(HEAVY_RATE), light_load(LIGHT_RATE)],
    }
}

fn six_models() -> Site {
    Site {
        name: "six models",
        chart: "balance-six-models",
        hosts: six_model_hosts(),
        loads: six_model_loads(SIX_MODELS_HEAVY_RATE),
    }
}

/// Summaries of one site by policy and load factor.
struct Sweep {
    site: &'static str,
    chart: &'static str,
    base_rate: f64,
    rows: Vec<SweepRow>,
}

struct SweepRow {
    policy: Policy,
    factor: f64,
    summary: Summary,
}

impl Sweep {
    fn of(&self, policy: Policy) -> Vec<&SweepRow> {
        self.rows
            .iter()
            .filter(|row| row.policy == policy)
            .collect()
    }

    fn at(&self, policy: Policy, factor: f64) -> Option<&SweepRow> {
        self.of(policy)
            .into_iter()
            .find(|row| (row.factor - factor).abs() < 1e-9)
    }

    /// Returns the highest request rate at which the 99th percentile of the time to the first token meets the target,
    /// interpolated linearly between two load factors; 0 when the lowest load misses it.
    fn throughput_at_target(&self, policy: Policy) -> f64 {
        let rows = self.of(policy);
        let mut best = 0.0;
        for pair in rows.windows(2) {
            let (low, high) = (p99(pair[0]), p99(pair[1]));
            if low > FIRST_TOKEN_TARGET_MS {
                break;
            }
            let share = if high <= FIRST_TOKEN_TARGET_MS {
                1.0
            } else {
                (FIRST_TOKEN_TARGET_MS - low) / (high - low)
            };
            let factor = pair[0].factor + share * (pair[1].factor - pair[0].factor);
            best = factor * self.base_rate;
        }
        best
    }
}

fn p99(row: &SweepRow) -> f64 {
    row.summary.pooled.first_token_ms(0.99)
}

fn sweep(site: &Site, seeds: u64) -> Sweep {
    let workload = Workload {
        loads: site.loads.clone(),
        changes: Vec::new(),
    };
    let mut fleets: Vec<FleetOptions> = Vec::new();
    for policy in POLICIES {
        for factor in FACTORS {
            for seed in 1..=seeds {
                let scaled = workload.scaled(factor);
                fleets.push(plain_fleet(seed, policy, site.hosts.clone(), scaled));
            }
        }
    }
    let results = simulate_all(&fleets);
    let mut chunks = results.chunks(seeds.max(1) as usize);
    let mut rows = Vec::new();
    for policy in POLICIES {
        for factor in FACTORS {
            if let Some(chunk) = chunks.next() {
                rows.push(SweepRow {
                    policy,
                    factor,
                    summary: Summary::of(chunk),
                });
            }
        }
    }
    Sweep {
        site: site.name,
        chart: site.chart,
        base_rate: site.rate(),
        rows,
    }
}

fn comparison(sweep: &Sweep) -> Table {
    let percent_of_base = COMPARED_FACTOR * 100.0;
    let title = format!("{}: at {percent_of_base:.0}% of the base load", sweep.site);
    let mut table = Table::new(
        &title,
        &[
            "policy",
            "mean util",
            "tail util",
            "timeouts",
            "first token p50 ms",
            "p99 ms",
            "token p95 ms",
            "cached",
        ],
    );
    for policy in POLICIES {
        let Some(row) = sweep.at(policy, COMPARED_FACTOR) else {
            continue;
        };
        let summary = &row.summary;
        table.add(vec![
            policy.name().to_owned(),
            percent(summary.mean_utilization),
            percent(summary.tail_utilization),
            percent(summary.pooled.timeout_rate()),
            number(summary.pooled.first_token_ms(0.5), 0),
            number(summary.pooled.first_token_ms(0.99), 0),
            number(summary.pooled.inter_token_ms(0.95), 1),
            percent(summary.pooled.cached_share()),
        ]);
    }
    table
}

fn capacity(sweep: &Sweep) -> Table {
    let title =
        format!("Throughput while the first token's p99 is within {FIRST_TOKEN_TARGET_MS:.0} ms");
    let mut table = Table::new(&title, &["policy", "requests/s", "against host total"]);
    let baseline = sweep.throughput_at_target(BASELINE);
    for policy in POLICIES {
        let throughput = sweep.throughput_at_target(policy);
        table.add(vec![
            policy.name().to_owned(),
            number(throughput, 1),
            change(throughput, baseline),
        ]);
    }
    table
}

fn against_source(sweep: &Sweep) -> Table {
    let mut table = Table::new(
        &format!(
            "{}: against host total (best of two), beside the source's figures",
            sweep.site
        ),
        &["figure", "source", "no affinity", "millford"],
    );
    let at = |policy| sweep.at(policy, COMPARED_FACTOR);
    let (Some(base), Some(without_affinity), Some(with_affinity)) = (
        at(BASELINE),
        at(Policy::MillfordWithoutAffinity),
        at(Policy::Millford),
    ) else {
        return table;
    };
    let mut add = |name: &str, source: &str, figure: &dyn Fn(&SweepRow) -> f64| {
        table.add(vec![
            name.to_owned(),
            source.to_owned(),
            change(figure(without_affinity), figure(base)),
            change(figure(with_affinity), figure(base)),
        ]);
    };
    add("timeout rate", "-67%", &|row| {
        row.summary.pooled.timeout_rate()
    });
    add("first token p99", "-50%", &p99);
    add("tail utilization", "not given", &|row| {
        row.summary.tail_utilization
    });
    add("throughput at equal p99", "+35%", &|row| {
        sweep.throughput_at_target(row.policy)
    });
    table
}

/// Formats the relative change in percent with its sign; "n/a" without a positive base.
fn change(value: f64, base: f64) -> String {
    if base <= 0.0 {
        return "n/a".to_owned();
    }
    format!("{:+.1}%", (value / base - 1.0) * 100.0)
}

fn chart(sweep: &Sweep) -> Chart {
    let series = POLICIES.iter().map(|policy| {
        let points = sweep.of(*policy).into_iter().map(|row| {
            let rate = row.factor * sweep.base_rate;
            (rate, p99(row))
        });
        Series::new(policy.name(), points)
    });
    Chart {
        name: sweep.chart.to_owned(),
        title: format!("First token p99 against load, {}", sweep.site),
        x_label: "requests/s".to_owned(),
        y_label: "first token p99, ms".to_owned(),
        series: series.collect(),
    }
}
