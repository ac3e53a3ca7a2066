//! Experiment `forecast`: replicas sized by load, with and without a forecast of the demand.

use millford_backend_model::ModelProfile;
use millford_core::{Duration, MonotonicTime};
use millford_placement::PlacerOptions;

use crate::fleet::{FleetOptions, PlacementOptions, Policy, RateChange, Workload};
use crate::report::{Report, Table, number, percent};
use crate::suite::parallel::simulate_all;
use crate::suite::site::{heavy_load, host, light_load, plain_fleet};
use crate::suite::summary::Summary;

const HOSTS: usize = 16;
const HEAVY_RATE: f64 = 50.0;
const LIGHT_RATE: f64 = 100.0;
/// Loading a replica takes fifteen seconds of sixteen cores.
const LOAD_CORE_SECONDS: f64 = 240.0;
const LENGTH_SECONDS: u64 = 1500;
/// Length of one rise and fall of the rates.
const PERIOD_SECONDS: f64 = 600.0;
const LOWEST_FACTOR: f64 = 0.3;

struct Variant {
    name: &'static str,
    size_by_load: bool,
    horizon_seconds: u64,
}

const VARIANTS: [Variant; 4] = [
    Variant {
        name: "every model everywhere",
        size_by_load: false,
        horizon_seconds: 0,
    },
    Variant {
        name: "sized by load",
        size_by_load: true,
        horizon_seconds: 0,
    },
    Variant {
        name: "forecast of 2 minutes",
        size_by_load: true,
        horizon_seconds: 120,
    },
    Variant {
        name: "forecast of 10 minutes",
        size_by_load: true,
        horizon_seconds: 600,
    },
];

/// Runs the experiment.
#[must_use]
pub fn run(seeds: u64) -> Report {
    let mut report = Report::new("forecast", seeds);
    report.note("16 backends that all declare a heavy and a light model; rates swing between 30% and 100% in 10 minutes.");
    report.note("Loading a replica takes 240 core seconds.");
    let mut fleets = Vec::new();
    for variant in &VARIANTS {
        for seed in 1..=seeds {
            fleets.push(fleet(seed, variant));
        }
    }
    let results = simulate_all(&fleets);
    let mut table = Table::new(
        "Replicas by forecast",
        &[
            "variant",
            "timeouts",
            "first token p50 ms",
            "p99 ms",
            "cut streams",
            "tail util",
            "moves",
        ],
    );
    for (variant, runs) in VARIANTS.iter().zip(results.chunks(seeds.max(1) as usize)) {
        let summary = Summary::of(runs);
        table.add(vec![
            variant.name.to_owned(),
            percent(summary.pooled.timeout_rate()),
            number(summary.pooled.first_token_ms(0.5), 0),
            number(summary.pooled.first_token_ms(0.99), 0),
            summary.pooled.cut.to_string(),
            percent(summary.tail_utilization),
            summary.pooled.moves.to_string(),
        ]);
    }
    report.tables.push(table);
    report
}

fn fleet(seed: u64, variant: &Variant) -> FleetOptions {
    let workload = Workload {
        loads: vec![heavy_load(HEAVY_RATE), light_load(LIGHT_RATE)],
        changes: swing(),
    };
    let models = [
        ("heavy", ModelProfile::heavy()),
        ("light", ModelProfile::light()),
    ];
    let hosts = (0..HOSTS).map(|_| host(&models)).collect();
    let plain = plain_fleet(seed, Policy::Millford, hosts, workload);
    FleetOptions {
        placement: Some(PlacementOptions {
            placer: PlacerOptions {
                size_by_load: variant.size_by_load,
                forecast_horizon: Duration::from_secs(variant.horizon_seconds),
                ..PlacerOptions::default()
            },
            load_core_seconds: LOAD_CORE_SECONDS,
        }),
        warm_up: Duration::from_secs(300),
        length: Duration::from_secs(LENGTH_SECONDS),
        ..plain
    }
}

/// The rates swing as a sine, in steps of ten seconds.
fn swing() -> Vec<RateChange> {
    let middle = f64::midpoint(1.0, LOWEST_FACTOR);
    let height = 1.0 - middle;
    (0..LENGTH_SECONDS / 10)
        .map(|step| {
            let second = step * 10;
            let angle = second as f64 / PERIOD_SECONDS * std::f64::consts::TAU;
            RateChange {
                at: MonotonicTime::from_millis(second * 1000),
                factor: middle - height * angle.cos(),
            }
        })
        .collect()
}
