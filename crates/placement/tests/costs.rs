//! Learned costs converge to the costs from which the samples were generated.

use std::collections::BTreeMap;

use millford_api::internal::CostSample;
use millford_placement::cost::BandwidthObservation;
use millford_placement::load::ReplicaWork;
use millford_placement::version::compare_versions;
use millford_placement::{BandwidthAttribution, CostModel, LineFit};
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn near(value: f64, expected: f64, tolerance: f64) -> bool {
    (value - expected).abs() <= tolerance * expected.abs().max(1e-9)
}

#[test]
fn a_line_is_fitted_under_one_sided_noise() {
    let mut random = SmallRng::seed_from_u64(7);
    let mut fit = LineFit::new(0.0, 5.0, 100.0);
    for _ in 0..2000 {
        let x = random.random_range(5.0..400.0);
        // A third of the samples contain waiting time, at most as long as the service time.
        let waiting = if random.random_bool(0.33) {
            random.random_range(1.0..2.0)
        } else {
            1.0
        };
        fit.observe(x, (12.0 + 1.6 * x) * waiting);
    }
    assert!(near(fit.slope(), 1.6, 0.15), "{fit:?}");
    assert!(fit.intercept() < 40.0, "{fit:?}");
}

#[test]
fn the_fit_follows_a_changed_cost() {
    let mut fit = LineFit::new(0.0, 1.0, 10.0);
    for step in 0..4000 {
        let x = f64::from(step % 40 + 1);
        let slope = if step < 2000 { 2.0 } else { 0.5 };
        fit.observe(x, 10.0 + slope * x);
    }
    assert!(near(fit.slope(), 0.5, 0.1), "{fit:?}");
    assert!(near(fit.intercept(), 10.0, 0.1), "{fit:?}");
}

#[test]
fn costs_of_two_models_are_distinguished() {
    let mut costs = CostModel::default();
    for step in 0..500_u32 {
        let tokens = 200 + step % 1000;
        let streams = 1 + step % 30;
        for (model, per_token, step) in [("heavy", 1.6, 24.0), ("light", 0.16, 8.0)] {
            let inter_token = step + 0.4 * f64::from(streams);
            let sample = CostSample {
                prompt_tokens: tokens,
                first_token_ms: (f64::from(tokens) * per_token / 16.0) as u32,
                output_tokens: 101,
                decode_ms: (inter_token * 100.0) as u32,
                streams_at_start: streams,
            };
            costs.observe(model, &sample, 16.0, streams);
        }
    }
    let prefill = ReplicaWork {
        prefill_tokens: 1000,
        ..ReplicaWork::default()
    };
    let heavy = costs.outstanding_seconds("heavy", &prefill, 16.0);
    let light = costs.outstanding_seconds("light", &prefill, 16.0);
    assert!(near(heavy, 0.1, 0.1), "{heavy}");
    assert!(near(light, 0.01, 0.15), "{light}");
    assert!(near(costs.inter_token_ms("heavy", 20), 32.0, 0.05));
    assert!(near(costs.inter_token_ms("light", 20), 16.0, 0.05));
}

/// Returns the inflation at which bandwidth use times inflation equals the demand. The latency
/// rises steeply above a use of 67%. `demand` is a share of the bandwidth.
fn stable_inflation(demand: f64) -> f64 {
    let slowdown = |used: f64| (7.0 * (used - 0.67).max(0.0)).exp();
    let (mut low, mut high) = (0.0, demand);
    for _ in 0..50 {
        let middle = f64::midpoint(low, high);
        if middle * slowdown(middle) < demand {
            low = middle;
        } else {
            high = middle;
        }
    }
    (demand / high.max(1e-9)).max(1.0)
}

#[test]
fn bandwidth_on_shared_backends_is_attributed_to_the_model_that_uses_it() {
    let mut random = SmallRng::seed_from_u64(3);
    let mut attribution = BandwidthAttribution::new(1.0, BTreeMap::new());
    for step in 0..4000 {
        let heavy = random.random_range(0.0..60.0);
        let light = random.random_range(0.0..200.0);
        let used = (3.0 * heavy + 0.3 * light) / 200.0;
        let observation = BandwidthObservation {
            backend: format!("b{}", step % 8),
            bandwidth_gbps: 200.0,
            streams: [("heavy".to_owned(), heavy), ("light".to_owned(), light)].into(),
            inflation: stable_inflation(used),
        };
        attribution.observe(&observation);
    }
    let heavy = attribution.stream_gbps("heavy");
    let light = attribution.stream_gbps("light");
    assert!(near(heavy, 3.0, 0.2), "heavy {heavy}");
    assert!(light < 0.6, "light {light}");
}

#[test]
fn a_declared_bandwidth_is_not_overwritten() {
    let declared = [("m".to_owned(), 4.0)].into();
    let mut attribution = BandwidthAttribution::new(1.0, declared);
    attribution.observe(&BandwidthObservation {
        backend: "b".to_owned(),
        bandwidth_gbps: 100.0,
        streams: [("m".to_owned(), 30.0)].into(),
        inflation: 1.0,
    });
    assert!(near(attribution.stream_gbps("m"), 4.0, 1e-9));
}

#[test]
fn versions_compare_by_number() {
    assert!(compare_versions("v10", "v9").is_gt());
    assert!(compare_versions("2026-02-01", "2026-01-31").is_gt());
    assert!(compare_versions("1.2", "1.10").is_lt());
}

quickcheck! {
    fn more_work_never_costs_less(tokens: u32, more: u32, streams: u8, further: u8) -> bool {
        let costs = CostModel::default();
        let low = ReplicaWork {
            prefill_tokens: u64::from(tokens),
            decode_streams: u32::from(streams),
            ..ReplicaWork::default()
        };
        let high = ReplicaWork {
            prefill_tokens: u64::from(tokens) + u64::from(more),
            decode_streams: u32::from(streams) + u32::from(further),
            ..ReplicaWork::default()
        };
        costs.outstanding_seconds("m", &low, 16.0) <= costs.outstanding_seconds("m", &high, 16.0)
    }
}
