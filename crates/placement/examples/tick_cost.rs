//! Measures the time of one planning tick.
//!
//! `cargo run --release -p millford-placement --example tick_cost`

use std::collections::BTreeMap;
use std::time::Instant;

use millford_api::config::Pool;
use millford_api::internal::ReplicaLoad;
use millford_api::state::{Backend, Declaration};
use millford_core::{Duration, MonotonicTime};
use millford_placement::{Placer, PlacerOptions};

const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
const NODES: usize = 330;
const LOADS_PER_REPORT: usize = 20;
const TICKS: u32 = 20;

fn main() {
    for backends in [12, 120, 1200] {
        measure(backends);
    }
}

fn measure(count: usize) {
    let backends: BTreeMap<String, Backend> = (0..count).map(backend).collect();
    let pool = Pool {
        name: "pool".to_owned(),
        ..Pool::default()
    };
    let mut placer = Placer::new(PlacerOptions::default());
    let mut now = MonotonicTime::from_millis(1000);
    let mut placement = placer.plan(now, 1, &pool, &backends, None).placement;
    let (mut observing, mut planning) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..TICKS {
        now = now + Duration::from_millis(500);
        let started = Instant::now();
        for node in 0..NODES {
            placer.observe(now, &format!("node-{node}"), &report(node, count));
        }
        observing += started.elapsed();
        let started = Instant::now();
        let outcome = placer.plan(now, 1, &pool, &backends, placement.as_ref());
        planning += started.elapsed();
        placement = outcome.placement.or(placement);
    }
    println!(
        "{count} backends, {NODES} nodes: {:?} a tick for reports, {:?} a tick for the plan",
        observing / TICKS,
        planning / TICKS,
    );
}

fn backend(number: usize) -> (String, Backend) {
    let id = format!("b{number:04}");
    let declarations = (0..2)
        .map(|model| Declaration {
            model: MODELS[(number + model) % MODELS.len()].to_owned(),
            version: "v1".to_owned(),
            ..Declaration::default()
        })
        .collect();
    let backend = Backend {
        id: id.clone(),
        declarations,
        cores: 16,
        bandwidth_gbps: 200.0,
        ..Backend::default()
    };
    (id, backend)
}

fn report(node: usize, backends: usize) -> Vec<ReplicaLoad> {
    (0..LOADS_PER_REPORT)
        .map(|load| {
            let number = (node * 7 + load * 13) % backends;
            ReplicaLoad {
                backend_id: format!("b{number:04}"),
                model: MODELS[number % MODELS.len()].to_owned(),
                version: "v1".to_owned(),
                prefill_tokens: 100,
                decode_streams: 2,
                ..ReplicaLoad::default()
            }
        })
        .collect()
}
