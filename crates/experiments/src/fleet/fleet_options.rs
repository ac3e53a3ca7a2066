//! Options of a simulated fleet, including its faults.

use millford_api::config::Pool;
use millford_backend_model::{BackendOptions, ModelProfile};
use millford_core::{Duration, MonotonicTime};
use millford_placement::PlacerOptions;

use crate::fleet::policy::Policy;
use crate::fleet::workload::Workload;

/// Options of one backend.
#[derive(Clone, Debug)]
pub struct HostOptions {
    /// Size of the emulated backend: cores, bandwidth, slots and cache.
    pub backend: BackendOptions,
    /// Models that the backend declares and can run.
    pub models: Vec<DeclaredModel>,
}

/// A model that a backend can run.
#[derive(Clone, Debug)]
pub struct DeclaredModel {
    /// Name of the model.
    pub model: &'static str,
    /// Versions that the backend declares from the start.
    pub versions: Vec<&'static str>,
    /// Costs of the model's requests, the same for all versions.
    pub profile: ModelProfile,
}

/// Options of the placement role.
#[derive(Clone, Debug)]
pub struct PlacementOptions {
    /// Options of the placer.
    pub placer: PlacerOptions,
    /// Processor time to load a replica, in core seconds; 0 loads replicas without any work.
    pub load_core_seconds: f64,
}

/// Rules for retries and ejections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRules {
    /// Time without a first token after which an attempt is retried; `None` waits until the caller's deadline.
    pub attempt_timeout: Option<Duration>,
    /// Largest number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Whether retries spend from the project's retry budget; otherwise only `max_attempts` limits them.
    pub budgeted: bool,
    /// Whether proxies probe backends and eject those that refuse connections or do not answer probes.
    pub ejects: bool,
}

impl RetryRules {
    /// Returns rules without retries: one attempt, limited by the caller's deadline only.
    #[must_use]
    pub fn none() -> Self {
        Self {
            attempt_timeout: None,
            max_attempts: 1,
            budgeted: true,
            ejects: false,
        }
    }
}

/// A scheduled fault, or a scheduled action of the platform or an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Time of the fault or action.
    pub at: MonotonicTime,
    /// Kind of the fault or action.
    pub kind: FaultKind,
}

/// Kinds of faults and actions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The host crashes: it loses its work and refuses connections.
    Kill {
        /// Index of the host.
        host: usize,
    },
    /// The host starts again without work.
    Restart {
        /// Index of the host.
        host: usize,
    },
    /// The host runs at a share of its full speed from then on.
    Slow {
        /// Index of the host.
        host: usize,
        /// Share of the full speed, above 0 and up to 1.
        speed: f64,
    },
    /// The platform announces the host's retirement and stops it after the pool's drain time.
    Retire {
        /// Index of the host.
        host: usize,
    },
    /// The pool's target version changes to this one.
    TargetVersion(&'static str),
}

/// Options of a complete simulated run.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of proxies.
    pub proxies: usize,
    /// Options of each backend.
    pub hosts: Vec<HostOptions>,
    /// Policy by which proxies choose a backend.
    pub policy: Policy,
    /// Requests that arrive.
    pub workload: Workload,
    /// The pool's configuration.
    pub pool: Pool,
    /// Options of the placement role; `None` lets every declared replica serve.
    pub placement: Option<PlacementOptions>,
    /// Rules for retries and ejections.
    pub retries: RetryRules,
    /// Time from a request's arrival after which the caller cancels it if no first token has arrived.
    pub first_token_limit: Duration,
    /// Faults, in any order.
    pub faults: Vec<Fault>,
    /// Time from the start whose requests and samples are left out of the metrics.
    pub warm_up: Duration,
    /// Time from the start after which no more requests arrive and no more samples are taken.
    pub length: Duration,
}
