//! What a simulated fleet consists of and which faults happen to it.

use millford_api::config::Pool;
use millford_backend_model::{BackendOptions, ModelProfile};
use millford_core::{Duration, MonotonicTime};
use millford_placement::PlacerOptions;

use crate::fleet::policy::Policy;
use crate::fleet::workload::Workload;

/// One backend.
#[derive(Clone, Debug)]
pub struct HostOptions {
    /// Size.
    pub backend: BackendOptions,
    /// Models that it declares and can run.
    pub models: Vec<DeclaredModel>,
}

/// A model that a backend can run.
#[derive(Clone, Debug)]
pub struct DeclaredModel {
    /// Name.
    pub model: &'static str,
    /// Versions that the backend declares from the start.
    pub versions: Vec<&'static str>,
    /// Costs.
    pub profile: ModelProfile,
}

/// The placement role.
#[derive(Clone, Debug)]
pub struct PlacementOptions {
    /// Options of the placer.
    pub placer: PlacerOptions,
    /// Processor time that loading a replica takes, in core seconds. 0: replicas are there at once.
    pub load_core_seconds: f64,
}

/// How attempts fail over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRules {
    /// Time without a first token after which an attempt is given up; none: only the deadline ends it.
    pub attempt_timeout: Option<Duration>,
    /// Attempts of one request at most.
    pub most_attempts: u32,
    /// Whether second sends are paid from the project's retry budget.
    pub budgeted: bool,
    /// Whether backends are ejected by connect errors and timeouts.
    pub ejects: bool,
}

impl RetryRules {
    /// One attempt, ended by the deadline only.
    #[must_use]
    pub fn none() -> Self {
        Self {
            attempt_timeout: None,
            most_attempts: 1,
            budgeted: true,
            ejects: false,
        }
    }
}

/// A fault of the fleet, or an operator's action.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// When.
    pub at: MonotonicTime,
    /// What.
    pub kind: FaultKind,
}

/// Kinds of faults and operators' actions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The host refuses connections and loses its work.
    Kill {
        /// Index of the host.
        host: usize,
    },
    /// The host comes back empty.
    Revive {
        /// Index of the host.
        host: usize,
    },
    /// The host runs at this share of its speed.
    Slow {
        /// Index of the host.
        host: usize,
        /// Share of its full speed, above 0 and up to 1.
        speed: f64,
    },
    /// The platform announces the host's retirement; it ends after the pool's drain time.
    Retire {
        /// Index of the host.
        host: usize,
    },
    /// The pool's target version changes.
    TargetVersion(&'static str),
}

/// A complete simulated run.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Seed of everything random.
    pub seed: u64,
    /// Number of proxies.
    pub proxies: usize,
    /// Backends.
    pub hosts: Vec<HostOptions>,
    /// How proxies choose.
    pub policy: Policy,
    /// Requests.
    pub workload: Workload,
    /// The pool's configuration.
    pub pool: Pool,
    /// The placement role; none: every declared replica serves.
    pub placement: Option<PlacementOptions>,
    /// Retries.
    pub retries: RetryRules,
    /// Time from arrival to the first token after which the caller gives up.
    pub first_token_limit: Duration,
    /// Faults, in any order.
    pub faults: Vec<Fault>,
    /// Figures count from here.
    pub warm_up: Duration,
    /// End of arrivals and figures.
    pub length: Duration,
}
