//! One simulated backend with what the platform does to it.

use std::collections::BTreeMap;

use millford_api::state::{Backend, BackendState, Declaration};
use millford_backend_model::{BackendEvent, EmulatedBackend};
use millford_core::MonotonicTime;

use crate::fleet::fleet_options::HostOptions;

/// Name of the pretended model whose runs stand for loading a replica.
pub const LOADER: &str = "loader";

/// A backend, its declarations and its health.
#[derive(Debug)]
pub struct Host {
    /// Identity and address.
    pub id: String,
    /// The emulated backend.
    pub backend: EmulatedBackend,
    /// What the registry shows.
    pub catalogue: Backend,
    /// Whether it answers.
    pub alive: bool,
    /// Grows whenever pending change events become void.
    pub generation: u64,
    /// Busy core seconds at the last sample.
    pub sampled_busy: f64,
    /// Utilization of past samples, the newest last.
    pub utilizations: Vec<f64>,
    /// Bandwidth demand over bandwidth at past samples.
    pub bandwidths: Vec<f64>,
}

impl Host {
    /// A fresh host.
    #[must_use]
    pub fn new(index: usize, options: &HostOptions) -> Self {
        let id = host_id(index);
        let mut backend = EmulatedBackend::new(options.backend, MonotonicTime::ZERO);
        let mut declarations = Vec::new();
        for model in &options.models {
            for version in &model.versions {
                backend.load_model(&run_model(model.model, version), model.profile);
                declarations.push(Declaration {
                    model: model.model.to_owned(),
                    version: (*version).to_owned(),
                    ..Declaration::default()
                });
            }
        }
        backend.load_model(LOADER, millford_backend_model::ModelProfile::heavy());
        let catalogue = Backend {
            id: id.clone(),
            address: id.clone(),
            cores: options.backend.cores as u32,
            bandwidth_gbps: options.backend.bandwidth_gbps,
            declarations,
            ..Backend::default()
        };
        Self {
            id,
            backend,
            catalogue,
            alive: true,
            generation: 0,
            sampled_busy: 0.0,
            utilizations: Vec::new(),
            bandwidths: Vec::new(),
        }
    }

    /// Whether the registry shows it as active.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.catalogue.state() == BackendState::BackendActive
    }

    /// Takes a sample of the utilization over the last `seconds`.
    pub fn sample(&mut self, seconds: f64) {
        let busy = self.backend.busy_core_seconds();
        let cores = self.backend.options().cores;
        self.utilizations
            .push((busy - self.sampled_busy) / seconds / cores);
        self.bandwidths.push(self.backend.bandwidth_utilization());
        self.sampled_busy = busy;
    }

    /// Progresses to `now`. A dead host does not.
    pub fn advance(&mut self, now: MonotonicTime) -> Vec<BackendEvent> {
        if self.alive {
            self.backend.advance(now)
        } else {
            Vec::new()
        }
    }
}

/// Identity of the host with this number.
#[must_use]
pub fn host_id(index: usize) -> String {
    format!("b{index:03}")
}

/// Name of a model version inside the emulated backend.
#[must_use]
pub fn run_model(model: &str, version: &str) -> String {
    format!("{model}@{version}")
}

/// Positions of hosts by id.
#[must_use]
pub fn index_by_id(hosts: &[Host]) -> BTreeMap<String, usize> {
    hosts
        .iter()
        .enumerate()
        .map(|(index, host)| (host.id.clone(), index))
        .collect()
}
