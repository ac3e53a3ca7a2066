//! A simulated backend and its state in the registry.

use std::collections::BTreeMap;

use millford_api::state::{Backend, BackendState, Declaration};
use millford_backend_model::{BackendEvent, EmulatedBackend};
use millford_core::MonotonicTime;

use crate::fleet::fleet_options::HostOptions;

/// Name of the internal model whose runs stand for loading a replica.
pub const LOADER: &str = "loader";

/// A simulated backend with its registry entry and its utilization samples.
#[derive(Debug)]
pub struct Host {
    /// Identity, also used as the address.
    pub id: String,
    /// Emulation of the backend's processing.
    pub backend: EmulatedBackend,
    /// The backend's entry in the registry, with its declarations.
    pub catalogue: Backend,
    /// Whether the backend runs and accepts connections.
    pub is_up: bool,
    /// Incremented whenever the pending change event becomes invalid.
    pub generation: u64,
    /// Cumulative busy core seconds at the last sample.
    pub sampled_busy: f64,
    /// Utilization of the cores at each sample, between 0 and 1, the newest last.
    pub utilizations: Vec<f64>,
    /// Memory bandwidth demand as a share of the bandwidth at each sample, the newest last; above 1 when the demand
    /// exceeds it.
    pub bandwidths: Vec<f64>,
}

impl Host {
    /// Creates an idle host; `index` is its position in the fleet.
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
            is_up: true,
            generation: 0,
            sampled_busy: 0.0,
            utilizations: Vec::new(),
            bandwidths: Vec::new(),
        }
    }

    /// Returns whether the registry lists the host as active.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.catalogue.state() == BackendState::BackendActive
    }

    /// Samples the utilization over the last `seconds` and the current bandwidth demand.
    pub fn sample(&mut self, seconds: f64) {
        let busy = self.backend.busy_core_seconds();
        let cores = self.backend.options().cores;
        self.utilizations
            .push((busy - self.sampled_busy) / seconds / cores);
        self.bandwidths.push(self.backend.bandwidth_utilization());
        self.sampled_busy = busy;
    }

    /// Advances the backend to `now` and returns the events on the way; none when the host is down.
    pub fn advance(&mut self, now: MonotonicTime) -> Vec<BackendEvent> {
        if self.is_up {
            self.backend.advance(now)
        } else {
            Vec::new()
        }
    }
}

/// Returns the identity of the host at this position in the fleet.
#[must_use]
pub fn host_id(index: usize) -> String {
    format!("b{index:03}")
}

/// Returns the name of a model version inside the emulated backend.
#[must_use]
pub fn run_model(model: &str, version: &str) -> String {
    format!("{model}@{version}")
}

/// Returns the positions of the hosts by their identity.
#[must_use]
pub fn index_by_id(hosts: &[Host]) -> BTreeMap<String, usize> {
    hosts
        .iter()
        .enumerate()
        .map(|(index, host)| (host.id.clone(), index))
        .collect()
}
