//! Experiment `retry-storm`: a third of the backends is slow or down for twenty seconds.

use millford_backend_model::ModelProfile;
use millford_core::{Duration, MonotonicTime};

use crate::fleet::{Fault, FaultKind, FleetMetrics, FleetOptions, Policy, RetryRules, Workload};
use crate::report::{Chart, Report, Series, Table, number, percent};
use crate::suite::parallel::simulate_all;
use crate::suite::site::{good_share_by_second, heavy_load, host, plain_fleet};
use crate::suite::summary::Summary;

const HOSTS: usize = 12;
const DOWN_HOSTS: [usize; 2] = [0, 1];
const SLOW_HOSTS: [usize; 2] = [2, 3];
const SLOW_SPEED: f64 = 0.1;
const FAULT_FROM_S: u64 = 30;
const FAULT_TO_S: u64 = 50;
/// Requests per second: about 60% of the capacity of all backends and nearly all of that of the healthy ones.
const RATE: f64 = 34.0;
/// Share of requests answered in time that counts as recovered once it holds for [`RECOVERED_SECONDS`].
const RECOVERED_SHARE: f64 = 0.95;
const RECOVERED_SECONDS: usize = 3;
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// A policy combined with rules for retries.
struct Variant {
    name: &'static str,
    policy: Policy,
    retries: RetryRules,
}

/// Runs the experiment with the seeds from 1 to `seeds` and returns its report.
#[must_use]
pub fn run(seeds: u64) -> Report {
    let mut report = Report::new("retry-storm", seeds);
    report.note("12 backends; from 30 s to 50 s two refuse connections and two run at a tenth of their speed.");
    report.note("Goodput: share of the requests of that time with a first token within 3 s.");
    report.note(
        "Recovery: seconds after the fault until 95% of a second's requests are good, for 3 s.",
    );
    let variants = variants();
    let mut fleets = Vec::new();
    for variant in &variants {
        for seed in 1..=seeds {
            fleets.push(fleet(seed, variant));
        }
    }
    let results = simulate_all(&fleets);
    let chunks: Vec<&[FleetMetrics]> = results.chunks(seeds.max(1) as usize).collect();
    let mut table = Table::new(
        "A third of the backends slow or dead",
        &[
            "variant",
            "goodput before",
            "during",
            "after",
            "second sends",
            "worst recovery s",
            "cut streams",
        ],
    );
    let mut series = Vec::new();
    for (variant, runs) in variants.iter().zip(chunks) {
        let summary = Summary::of(runs);
        table.add(row(variant.name, &summary, runs));
        series.push(Series::new(
            variant.name,
            good_share_by_second(&summary.pooled),
        ));
    }
    report.tables.push(table);
    report.charts.push(Chart {
        name: "retry-storm".to_owned(),
        title: "Requests answered in time; fault from 30 s to 50 s".to_owned(),
        x_label: "second of arrival".to_owned(),
        y_label: "share with a first token in time".to_owned(),
        series,
    });
    report
}

fn variants() -> Vec<Variant> {
    let plain = |max_attempts, budgeted, ejects| RetryRules {
        attempt_timeout: Some(ATTEMPT_TIMEOUT),
        max_attempts,
        budgeted,
        ejects,
    };
    vec![
        Variant {
            name: "host total, no retries",
            policy: Policy::HostTotal,
            retries: RetryRules::none(),
        },
        Variant {
            name: "host total, 3 retries",
            policy: Policy::HostTotal,
            retries: plain(4, false, false),
        },
        Variant {
            name: "host total, 3 retries, ejection",
            policy: Policy::HostTotal,
            retries: plain(4, false, true),
        },
        Variant {
            name: "millford, 3 retries, no budget",
            policy: Policy::Millford,
            retries: plain(4, false, true),
        },
        Variant {
            name: "millford",
            policy: Policy::Millford,
            retries: plain(3, true, true),
        },
    ]
}

fn fleet(seed: u64, variant: &Variant) -> FleetOptions {
    let workload = Workload {
        loads: vec![heavy_load(RATE)],
        changes: Vec::new(),
    };
    let hosts = (0..HOSTS)
        .map(|_| host(&[("heavy", ModelProfile::heavy())]))
        .collect();
    FleetOptions {
        retries: variant.retries,
        faults: faults(),
        length: Duration::from_secs(100),
        ..plain_fleet(seed, variant.policy, hosts, workload)
    }
}

fn faults() -> Vec<Fault> {
    let from = MonotonicTime::from_millis(FAULT_FROM_S * 1000);
    let to = MonotonicTime::from_millis(FAULT_TO_S * 1000);
    let mut faults = Vec::new();
    for host in DOWN_HOSTS {
        faults.push(Fault {
            at: from,
            kind: FaultKind::Kill { host },
        });
        faults.push(Fault {
            at: to,
            kind: FaultKind::Restart { host },
        });
    }
    for host in SLOW_HOSTS {
        faults.push(Fault {
            at: from,
            kind: FaultKind::Slow {
                host,
                speed: SLOW_SPEED,
            },
        });
        faults.push(Fault {
            at: to,
            kind: FaultKind::Slow { host, speed: 1.0 },
        });
    }
    faults
}

fn row(name: &str, summary: &Summary, runs: &[FleetMetrics]) -> Vec<String> {
    let goodput = |from: u64, to: u64| {
        let seconds = good_counts(&summary.pooled, from as usize, to as usize);
        percent(seconds)
    };
    vec![
        name.to_owned(),
        goodput(15, FAULT_FROM_S),
        goodput(FAULT_FROM_S, FAULT_TO_S),
        goodput(FAULT_TO_S, 100),
        percent(summary.pooled.retry_share()),
        worst_recovery(runs),
        summary.pooled.truncated.to_string(),
    ]
}

fn good_counts(metrics: &FleetMetrics, from: usize, to: usize) -> f64 {
    let sum = |counts: &[u32]| -> u64 {
        counts
            .iter()
            .take(to)
            .skip(from)
            .map(|count| u64::from(*count))
            .sum()
    };
    let good = sum(&metrics.good_by_second);
    good as f64 / sum(&metrics.arrived_by_second).max(1) as f64
}

fn worst_recovery(runs: &[FleetMetrics]) -> String {
    let times: Option<Vec<usize>> = runs.iter().map(recovery_seconds).collect();
    match times.and_then(|times| times.into_iter().max()) {
        Some(worst) => number(worst as f64, 0),
        None => "never".to_owned(),
    }
}

/// Returns the seconds from the end of the fault to recovery; `None` if the fleet does not recover during the run.
fn recovery_seconds(metrics: &FleetMetrics) -> Option<usize> {
    let shares = good_share_by_second(metrics);
    let after = shares.get(FAULT_TO_S as usize..)?;
    after
        .windows(RECOVERED_SECONDS)
        .position(|window| window.iter().all(|(_, share)| *share >= RECOVERED_SHARE))
}
