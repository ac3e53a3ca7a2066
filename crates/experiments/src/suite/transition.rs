//! Experiment `transition`: rollout of a new model version at peak load, while the platform retires backends.

use millford_api::config::Pool;
use millford_backend_model::ModelProfile;
use millford_core::{Duration, MonotonicTime};
use millford_placement::PlacerOptions;

use crate::fleet::fleet_options::DeclaredModel;
use crate::fleet::{
    Fault, FaultKind, FleetMetrics, FleetOptions, HostOptions, PlacementOptions, Policy,
    RateChange, RetryRules, Workload,
};
use crate::report::{Chart, Report, Series, Table, number, percent};
use crate::suite::parallel::simulate_all;
use crate::suite::site::{good_share_by_second, heavy_load, host, plain_fleet};
use crate::suite::summary::Summary;

const HOSTS: usize = 12;
const RATE: f64 = 41.0;
const ORDERED_AT: MonotonicTime = MonotonicTime::from_millis(70_000);
const PEAK_ENDS_AT: MonotonicTime = MonotonicTime::from_millis(200_000);
/// Factor on the request rate after the peak.
const OFF_PEAK_FACTOR: f64 = 0.5;
const RETIREMENTS: [(usize, u64); 2] = [(10, 60_000), (11, 90_000)];
const DRAIN_MS: u32 = 30_000;
/// Processor time to load a replica, in core seconds: 15 seconds on 16 cores.
const LOAD_CORE_SECONDS: f64 = 240.0;
/// Length of the window over which the worst share of requests answered in time is reported, in seconds.
const WINDOW_SECONDS: usize = 5;
const WARM_UP_SECONDS: usize = 15;
const LENGTH: Duration = Duration::from_secs(330);

struct Variant {
    name: &'static str,
    ordered: bool,
    gate: bool,
    longest_deferral_ms: u32,
}

const VARIANTS: [Variant; 4] = [
    Variant {
        name: "no transition",
        ordered: false,
        gate: true,
        longest_deferral_ms: 0,
    },
    Variant {
        name: "gate off",
        ordered: true,
        gate: false,
        longest_deferral_ms: 0,
    },
    Variant {
        name: "gate on",
        ordered: true,
        gate: true,
        longest_deferral_ms: 600_000,
    },
    Variant {
        name: "gate on, forced after 60 s",
        ordered: true,
        gate: true,
        longest_deferral_ms: 60_000,
    },
];

/// Runs the experiment with the seeds from 1 to `seeds` and returns its report.
#[must_use]
pub fn run(seeds: u64) -> Report {
    let mut report = Report::new("transition", seeds);
    report.note(
        "12 backends; peak until 200 s, then half the rate; a new version is ordered at 70 s.",
    );
    report.note("The platform retires a backend at 60 s and at 90 s; drain_ms 30,000; loading a replica takes 240 core seconds.");
    let mut fleets = Vec::new();
    for variant in &VARIANTS {
        for seed in 1..=seeds {
            fleets.push(fleet(seed, variant));
        }
    }
    let results = simulate_all(&fleets);
    let mut table = Table::new(
        "A new version at peak",
        &[
            "variant",
            "timeouts",
            "worst 5 s answered",
            "first token p99 ms",
            "cut streams",
            "first step s",
            "end s",
            "forced steps",
            "longest drain s",
            "last send to a retiring backend s",
        ],
    );
    let mut series = Vec::new();
    for (variant, runs) in VARIANTS.iter().zip(results.chunks(seeds.max(1) as usize)) {
        let summary = Summary::of(runs);
        table.add(row(variant.name, &summary, runs));
        series.push(Series::new(
            variant.name,
            good_share_by_second(&summary.pooled),
        ));
    }
    report.tables.push(table);
    report.charts.push(Chart {
        name: "transition".to_owned(),
        title: "Requests answered in time; new version ordered at 70 s".to_owned(),
        x_label: "second of arrival".to_owned(),
        y_label: "share with a first token in time".to_owned(),
        series,
    });
    report
}

fn fleet(seed: u64, variant: &Variant) -> FleetOptions {
    let workload = Workload {
        loads: vec![heavy_load(RATE)],
        changes: vec![RateChange {
            at: PEAK_ENDS_AT,
            factor: OFF_PEAK_FACTOR,
        }],
    };
    let hosts = (0..HOSTS).map(|_| two_version_host()).collect();
    let mut faults: Vec<Fault> = RETIREMENTS
        .iter()
        .map(|(host, at)| Fault {
            at: MonotonicTime::from_millis(*at),
            kind: FaultKind::Retire { host: *host },
        })
        .collect();
    if variant.ordered {
        faults.push(Fault {
            at: ORDERED_AT,
            kind: FaultKind::TargetVersion("v2"),
        });
    }
    let plain = plain_fleet(seed, Policy::Millford, hosts, workload);
    FleetOptions {
        pool: Pool {
            drain_ms: DRAIN_MS,
            target_version: "v1".to_owned(),
            longest_deferral_ms: variant.longest_deferral_ms,
            ..plain.pool.clone()
        },
        placement: Some(PlacementOptions {
            placer: PlacerOptions {
                transition_gate: variant.gate,
                ..PlacerOptions::default()
            },
            load_core_seconds: LOAD_CORE_SECONDS,
        }),
        retries: RetryRules {
            max_attempts: 2,
            ejects: true,
            ..RetryRules::none()
        },
        faults,
        length: LENGTH,
        ..plain
    }
}

fn two_version_host() -> HostOptions {
    let profile = ModelProfile::heavy();
    HostOptions {
        models: vec![DeclaredModel {
            model: "heavy",
            versions: vec!["v1", "v2"],
            profile,
        }],
        ..host(&[])
    }
}

fn row(name: &str, summary: &Summary, runs: &[FleetMetrics]) -> Vec<String> {
    let since_order = |time: fn(&FleetMetrics) -> Option<MonotonicTime>| {
        let times: Option<Vec<f64>> = runs
            .iter()
            .map(|run| time(run).map(|at| at.since(ORDERED_AT).as_secs_f64()))
            .collect();
        match times {
            Some(times) => number(times.into_iter().fold(0.0, f64::max), 1),
            None => "-".to_owned(),
        }
    };
    vec![
        name.to_owned(),
        percent(summary.pooled.timeout_rate()),
        percent(worst_window(&summary.pooled)),
        number(summary.pooled.first_token_ms(0.99), 0),
        summary.pooled.truncated.to_string(),
        since_order(|run| run.transition_first_step),
        since_order(|run| run.transition_end),
        summary.pooled.forced_steps.to_string(),
        number(summary.pooled.longest_drain.as_secs_f64(), 1),
        number(
            summary.pooled.longest_send_after_retirement.as_secs_f64(),
            2,
        ),
    ]
}

/// Returns the smallest share of requests answered in time over any [`WINDOW_SECONDS`] after the warm-up, with all
/// seeds pooled.
fn worst_window(metrics: &FleetMetrics) -> f64 {
    let counted = LENGTH.as_secs() as usize;
    let seconds: Vec<usize> = (WARM_UP_SECONDS..counted).collect();
    let sum = |counts: &[u32], window: &[usize]| -> f64 {
        let present = window.iter().filter_map(|second| counts.get(*second));
        present.map(|count| f64::from(*count)).sum()
    };
    seconds
        .windows(WINDOW_SECONDS)
        .map(|window| {
            sum(&metrics.good_by_second, window) / sum(&metrics.arrived_by_second, window).max(1.0)
        })
        .fold(1.0, f64::min)
}
