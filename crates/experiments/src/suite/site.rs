//! Sites that several experiments share.

use millford_api::config::Pool;
use millford_backend_model::{BackendOptions, ModelProfile};
use millford_core::Duration;

use crate::fleet::fleet_options::DeclaredModel;
use crate::fleet::{
    FleetMetrics, FleetOptions, HostOptions, ModelLoad, Policy, RetryRules, Workload,
};

/// Proxies of a site.
pub const PROXIES: usize = 8;
/// Time to the first token that callers wait for.
pub const FIRST_TOKEN_LIMIT: Duration = Duration::from_secs(3);
/// First-token target of the planned fleet, for 95 in 100, in milliseconds.
pub const FIRST_TOKEN_TARGET_MS: f64 = 1300.0;

/// The heavy model with long prompts under a shared prefix.
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

/// The light model with short questions.
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

/// A backend that declares models in one version.
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

/// Eight backends with the heavy model, eight with the light one, eight with both.
#[must_use]
pub fn mixed_hosts() -> Vec<HostOptions> {
    let heavy = ("heavy", ModelProfile::heavy());
    let light = ("light", ModelProfile::light());
    let kinds: [&[(&'static str, ModelProfile)]; 3] = [&[heavy], &[light], &[heavy, light]];
    (0..24).map(|index| host(kinds[index % 3])).collect()
}

/// Names of six models from the heaviest to the lightest.
const SIX_MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
/// Cost of each of the six models against the one before it: ten times between first and last.
const COST_STEP: f64 = 0.631;

/// Backends that each hold three of six models.
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

/// Requests of the six models, each with the same work in all.
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

/// A fleet without placement, retries and faults.
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

/// Share of the requests of each second that got their first token in time.
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
