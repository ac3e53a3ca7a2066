//! Sites that several experiments share.

use millford_api::config::Pool;
use millford_backend_model::{BackendOptions, ModelProfile};
use millford_core::Duration;

use crate::fleet::fleet_options::DeclaredModel;
use crate::fleet::{FleetOptions, HostOptions, ModelLoad, Policy, RetryRules, Workload};

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
        prompt_median: 2600.0,
        spread: 0.7,
        output_median: 120.0,
        prefixes: 24,
        skew: 1.0,
        prefix_tokens: 1280,
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
        spread: 0.7,
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
        length: Duration::from_secs(60),
    }
}
