//! Backends, loads and options that several experiments share.

use millford_api::config::Pool;
use millford_backend_model::{BackendOptions, ModelProfile};
use millford_core::Duration;

use crate::fleet::fleet_options::DeclaredModel;
use crate::fleet::{
    FleetMetrics, FleetOptions, HostOptions, ModelLoad, Policy, RetryRules, Workload,
};

/// Number of proxies.
pub const PROXIES: usize = 8;
/// Time that callers wait for the first token.
pub const FIRST_TOKEN_LIMIT: Duration = Duration::from_secs(3);
/// Planned target for the 95th percentile of the time to the first token, in milliseconds.
pub const FIRST_TOKEN_TARGET_MS: f64 = 1300.0;

/// Returns a load of `rate` requests per second for the heavy model, with long prompts that share prefixes.
#[must_use]
pub fn heavy_load(rate: f64) -> ModelLoad {
    ModelLoad {
        model: "heavy",
        rate,
        prompt_median: 1500.0,
        spread: 0.6,
        output_median: 120.0,
        prefixes: 24,
        skew: 1.0,
        prefix_tokens: 768,
        session_share: 0.0,
    }
}

/// Returns a load of `rate` requests per second for the light model, with short prompts and answers.
#[must_use]
pub fn light_load(rate: f64) -> ModelLoad {
    ModelLoad {
        model: "light",
        rate,
        prompt_median: 500.0,
        spread: 0.6,
        output_median: 60.0,
        prefixes: 24,
        skew: 1.0,
        prefix_tokens: 256,
        session_share: 0.0,
    }
}

/// Returns a backend that declares these models, each in one version.
#[must_use]
pub fn host(models: &[(&'static str, ModelProfile)]) -> HostOptions {
    HostOptions {
        backend: BackendOptions::default(),
        models: models
            .iter()
            .map(|(model, profile)| DeclaredModel {
                model,
                versions: vec!["v1"],
                profile: *profile,
            })
            .collect(),
    }
}

/// Returns 24 backends: eight with the heavy model, eight with the light one and eight with both.
#[must_use]
pub fn mixed_hosts() -> Vec<HostOptions> {
    let heavy = ("heavy", ModelProfile::heavy());
    let light = ("light", ModelProfile::light());
    let kinds: [&[(&'static str, ModelProfile)]; 3] = [&[heavy], &[light], &[heavy, light]];
    (0..24).map(|index| host(kinds[index % 3])).collect()
}

/// Names of the six models, from the heaviest to the lightest.
const SIX_MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
/// Cost of each of the six models relative to the one before it. The first costs ten times as much as the last.
const COST_STEP: f64 = 0.631;

/// Returns 24 backends that each declare three of the six models.
#[must_use]
pub fn six_model_hosts() -> Vec<HostOptions> {
    let profile = |model: usize| {
        let cost = COST_STEP.powi(model as i32);
        let heavy = ModelProfile::heavy();
        ModelProfile {
            prefill_core_micros_per_token: heavy.prefill_core_micros_per_token * cost,
            decode_base_micros: heavy.decode_base_micros * cost.sqrt(),
            decode_stream_micros: heavy.decode_stream_micros * cost,
            decode_cores_per_stream: heavy.decode_cores_per_stream * cost,
            weights_gigabytes: heavy.weights_gigabytes * cost,
            stream_gigabytes: heavy.stream_gigabytes * cost,
            ..heavy
        }
    };
    (0..24)
        .map(|index| {
            let held = [index % 6, (index + 1) % 6, (index + 3) % 6];
            host(&held.map(|model| (SIX_MODELS[model], profile(model))))
        })
        .collect()
}

/// Returns loads for the six models whose rates give each model the same total work. `heaviest_rate` is the rate of
/// the heaviest, in requests per second.
#[must_use]
pub fn six_model_loads(heaviest_rate: f64) -> Vec<ModelLoad> {
    SIX_MODELS
        .iter()
        .enumerate()
        .map(|(model, name)| ModelLoad {
            model: name,
            rate: heaviest_rate / COST_STEP.powi(model as i32),
            ..heavy_load(0.0)
        })
        .collect()
}

/// Returns options of a fleet without placement, retries and faults.
#[must_use]
pub fn plain_fleet(
    seed: u64,
    policy: Policy,
    hosts: Vec<HostOptions>,
    workload: Workload,
) -> FleetOptions {
    FleetOptions {
        seed,
        proxies: PROXIES,
        hosts,
        policy,
        workload,
        pool: Pool {
            name: "pool".to_owned(),
            drain_ms: 10_000,
            ..Pool::default()
        },
        placement: None,
        retries: RetryRules::none(),
        first_token_limit: FIRST_TOKEN_LIMIT,
        faults: Vec::new(),
        warm_up: Duration::from_secs(15),
        length: Duration::from_mins(1),
    }
}

/// Returns pairs of a second and the share of the requests arriving in it that got their first token in time.
#[must_use]
pub fn good_share_by_second(metrics: &FleetMetrics) -> Vec<(f64, f64)> {
    metrics
        .arrived_by_second
        .iter()
        .enumerate()
        .map(|(second, arrived)| {
            let good = metrics.good_by_second.get(second).copied().unwrap_or(0);
            (
                second as f64,
                f64::from(good) / f64::from((*arrived).max(1)),
            )
        })
        .collect()
}
