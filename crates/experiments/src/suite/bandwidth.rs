//! Experiment `bandwidth`: placement with and without memory bandwidth as a packing dimension.

use millford_backend_model::ModelProfile;
use millford_core::Duration;
use millford_placement::PlacerOptions;

use crate::fleet::{FleetOptions, HostOptions, ModelLoad, PlacementOptions, Policy, Workload};
use crate::report::{Chart, Report, Series, Table, number, percent};
use crate::suite::parallel::simulate_all;
use crate::suite::site::{heavy_load, host, plain_fleet};
use crate::suite::summary::Summary;

const HOSTS: usize = 16;
/// Load factors of the sweep, relative to the base rates.
const FACTORS: [f64; 5] = [0.4, 0.6, 0.8, 1.0, 1.2];
const COMPARED_FACTOR: f64 = 1.0;
const HEAVY_RATE: f64 = 28.0;
const WIDE_RATE: f64 = 20.0;
/// Bandwidth of one stream of the wide model as an operator would declare it, in GB/s.
const WIDE_STREAM_GBPS: f64 = 7.0;
/// Bandwidth of one stream of the heavy model as an operator would declare it, in GB/s.
const HEAVY_STREAM_GBPS: f64 = 8.0;

struct Variant {
    name: &'static str,
    placement: Option<PlacerOptions>,
}

/// Runs the experiment with the seeds from 1 to `seeds` and returns its report.
#[must_use]
pub fn run(seeds: u64) -> Report {
    let mut report = Report::new("bandwidth", seeds);
    report.note(
        "16 backends: all declare a heavy model (processor), every other one a wide model too (memory bandwidth).",
    );
    report.note("Placement decides which hold which; ceiling 65% of 200 GB/s. Over the ceiling: share of samples of a backend.");
    let variants = variants();
    let mut fleets = Vec::new();
    for variant in &variants {
        for factor in FACTORS {
            for seed in 1..=seeds {
                fleets.push(fleet(seed, variant, factor));
            }
        }
    }
    let results = simulate_all(&fleets);
    let mut chunks = results.chunks(seeds.max(1) as usize);
    let mut table = Table::new(
        "At the base load",
        &[
            "variant",
            "over ceiling",
            "most demand",
            "token p50 ms",
            "token p99 ms",
            "first token p99 ms",
            "timeouts",
            "tail util",
            "moves",
        ],
    );
    let mut series = Vec::new();
    for variant in &variants {
        let mut points = Vec::new();
        for factor in FACTORS {
            let Some(runs) = chunks.next() else {
                continue;
            };
            let summary = Summary::of(runs);
            points.push((factor, summary.pooled.inter_token_ms(0.99)));
            if (factor - COMPARED_FACTOR).abs() < 1e-9 {
                table.add(row(variant.name, &summary));
            }
        }
        series.push(Series::new(variant.name, points));
    }
    report.tables.push(table);
    report.charts.push(Chart {
        name: "bandwidth".to_owned(),
        title: "Time between tokens, p99, against load".to_owned(),
        x_label: "load, as a factor".to_owned(),
        y_label: "time between tokens p99, ms".to_owned(),
        series,
    });
    report
}

fn variants() -> Vec<Variant> {
    let with = |bandwidth_dimension, declared: bool, size_by_load| {
        let mut options = PlacerOptions {
            bandwidth_dimension,
            size_by_load,
            // The experiment is short, so surplus replicas are removed sooner than by default.
            scale_down_delay: Duration::from_secs(4),
            ..PlacerOptions::default()
        };
        if declared {
            let declared_gbps = &mut options.declared_stream_gbps;
            declared_gbps.insert("wide".to_owned(), WIDE_STREAM_GBPS);
            declared_gbps.insert("heavy".to_owned(), HEAVY_STREAM_GBPS);
        }
        Some(options)
    };
    vec![
        Variant {
            name: "no placement",
            placement: None,
        },
        Variant {
            name: "cores only",
            placement: with(false, false, false),
        },
        Variant {
            name: "cores and learned bandwidth",
            placement: with(true, false, false),
        },
        Variant {
            name: "cores and declared bandwidth",
            placement: with(true, true, false),
        },
        Variant {
            name: "cores only, sized by load",
            placement: with(false, false, true),
        },
        Variant {
            name: "both, sized by load",
            placement: with(true, false, true),
        },
    ]
}

fn fleet(seed: u64, variant: &Variant, factor: f64) -> FleetOptions {
    let workload = Workload {
        loads: vec![heavy_load(HEAVY_RATE), wide_load(WIDE_RATE)],
        changes: Vec::new(),
    };
    let hosts = (0..HOSTS).map(mixed_host).collect();
    FleetOptions {
        placement: variant.placement.clone().map(|placer| PlacementOptions {
            placer,
            load_core_seconds: 0.0,
        }),
        warm_up: Duration::from_mins(2),
        length: Duration::from_mins(4),
        ..plain_fleet(seed, Policy::Millford, hosts, workload.scaled(factor))
    }
}

/// Returns a backend that declares the heavy model and, for even indexes, also the wide one.
fn mixed_host(index: usize) -> HostOptions {
    let heavy = ("heavy", ModelProfile::heavy());
    let wide = ("wide", wide_profile());
    if index.is_multiple_of(2) {
        host(&[heavy, wide])
    } else {
        host(&[heavy])
    }
}

/// Returns a profile with little processor time and much memory traffic.
fn wide_profile() -> ModelProfile {
    ModelProfile {
        prefill_core_micros_per_token: 120.0,
        prefill_gbps_per_core: 1.0,
        decode_base_micros: 20_000.0,
        decode_stream_micros: 200.0,
        decode_cores_per_stream: 0.05,
        weights_gigabytes: 0.3,
        stream_gigabytes: 0.14,
    }
}

fn wide_load(rate: f64) -> ModelLoad {
    ModelLoad {
        model: "wide",
        rate,
        prompt_median: 600.0,
        spread: 0.6,
        output_median: 200.0,
        prefixes: 24,
        skew: 1.0,
        prefix_tokens: 256,
        session_share: 0.0,
    }
}

fn row(name: &str, summary: &Summary) -> Vec<String> {
    vec![
        name.to_owned(),
        percent(summary.over_bandwidth_limit),
        percent(summary.pooled.max_bandwidth_utilization),
        number(summary.pooled.inter_token_ms(0.5), 1),
        number(summary.pooled.inter_token_ms(0.99), 1),
        number(summary.pooled.first_token_ms(0.99), 0),
        percent(summary.pooled.timeout_rate()),
        percent(summary.tail_utilization),
        summary.pooled.placement_changes.to_string(),
    ]
}
