//! Input of one planning tick: the pool, its backends, and their estimated use of processor time
//! and memory bandwidth.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::config::Pool;
use millford_api::state::{Backend, BackendState};
use millford_core::MonotonicTime;

use crate::cost::{BandwidthAttribution, CostModel};
use crate::load::{ReplicaWork, SmoothedLoad};
use crate::options::PlacerOptions;
use crate::plan::declared_models::DeclaredModels;
use crate::plan::pool_limits::PoolLimits;
use crate::replica_key::ReplicaKey;

/// Learned costs and reported work of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLoad<'a> {
    /// Learned processor costs of the models.
    pub costs: &'a CostModel,
    /// Learned memory bandwidth use of the models.
    pub bandwidth: &'a BandwidthAttribution,
    /// Work in flight at the time of the tick, by replica.
    pub work: &'a BTreeMap<ReplicaKey, ReplicaWork>,
    /// Exponential means of the work in flight.
    pub smoothed: &'a SmoothedLoad,
}

/// Input of the planning steps.
pub struct PoolView<'a> {
    /// Time of the tick.
    pub now: MonotonicTime,
    /// Options of the placer.
    pub options: &'a PlacerOptions,
    /// Limits of the pool, with defaults applied.
    pub limits: PoolLimits,
    /// The pool's backends by id, including those that are draining or gone.
    pub backends: &'a BTreeMap<String, Backend>,
    /// Learned costs and reported work.
    pub load: PoolLoad<'a>,
    /// Models and versions that the active backends declare.
    pub declared: DeclaredModels,
    target_version: String,
}

impl<'a> PoolView<'a> {
    /// Creates the view of a pool at `now`.
    #[must_use]
    pub fn new(
        now: MonotonicTime,
        options: &'a PlacerOptions,
        pool: &Pool,
        backends: &'a BTreeMap<String, Backend>,
        load: PoolLoad<'a>,
    ) -> Self {
        let selector = pool.selector.clone().unwrap_or_default();
        Self {
            now,
            options,
            limits: PoolLimits::from(pool),
            backends,
            load,
            declared: DeclaredModels::new(backends, &selector),
            target_version: pool.target_version.clone(),
        }
    }

    /// Returns the version of the model that the pool should serve.
    ///
    /// It is the pool's target version if an active backend declares it, else the highest declared
    /// version; `None` if no active backend declares the model.
    #[must_use]
    pub fn target_version(&self, model: &str) -> Option<&str> {
        self.declared.target_version(model, &self.target_version)
    }

    /// Returns the active backends that declare the model's target version.
    #[must_use]
    pub fn backends_of_target(&self, model: &str) -> BTreeSet<&str> {
        let target = self.target_version(model).unwrap_or_default();
        self.declared.backends_of_version(model, target)
    }

    /// Whether the backend is active, so that it may take new work.
    #[must_use]
    pub fn is_active(&self, backend: &str) -> bool {
        self.backends
            .get(backend)
            .is_some_and(|backend| backend.state() == BackendState::BackendActive)
    }

    /// Returns the active backends of the pool.
    pub fn active_backends(&self) -> impl Iterator<Item = &'a Backend> {
        self.backends
            .values()
            .filter(|backend| backend.state() == BackendState::BackendActive)
    }

    /// Returns the smoothed utilization of a backend by all the work on it; 1 means fully used.
    ///
    /// Prefill uses all cores that decode leaves free. A backend is therefore fully used while any
    /// prompt is in prefill, and otherwise in proportion to its streams. The estimate uses only the
    /// counts of work in flight.
    #[must_use]
    pub fn utilization(&self, backend: &str) -> f64 {
        let decode: f64 = self
            .streams_on(backend)
            .iter()
            .map(|(model, streams)| self.load.costs.decode_utilization(model, *streams))
            .sum();
        combined_utilization(decode, self.load.smoothed.prefill_busy(backend))
    }

    /// Returns the smoothed utilization of a backend by the work of one model; 1 means fully used.
    #[must_use]
    pub fn model_utilization(&self, backend: &str, model: &str) -> f64 {
        let mut decode = 0.0;
        let mut prefill: f64 = 0.0;
        for (key, mean) in self.load.smoothed.replicas_on(backend) {
            if key.model == model {
                decode += self.load.costs.decode_utilization(model, mean.streams);
                prefill = prefill.max(mean.prefill_busy);
            }
        }
        combined_utilization(decode, prefill)
    }

    /// Returns the utilization by one model summed over the backends, which is the number of fully
    /// used backends that its work is equivalent to.
    #[must_use]
    pub fn model_backends_busy(&self, model: &str) -> f64 {
        let replicas = self.load.smoothed.replicas().keys();
        let backends: BTreeSet<&str> = replicas
            .filter(|key| key.model == model)
            .map(|key| key.backend.as_str())
            .collect();
        backends
            .into_iter()
            .map(|backend| self.model_utilization(backend, model))
            .sum()
    }

    /// Whether work of the model was reported recently.
    #[must_use]
    pub fn has_load(&self, model: &str) -> bool {
        let mut replicas = self.load.smoothed.replicas().keys();
        replicas.any(|key| key.model == model)
    }

    /// Returns the mean utilization of the active backends. It includes the work on draining
    /// backends, which the active ones may have to take over.
    #[must_use]
    pub fn pool_utilization(&self) -> f64 {
        let busy: f64 = self
            .backends
            .keys()
            .map(|backend| self.utilization(backend))
            .sum();
        busy / self.active_backends().count().max(1) as f64
    }

    /// Returns the estimated bandwidth use of a backend, in GB/s.
    #[must_use]
    pub fn bandwidth_use(&self, backend: &str) -> f64 {
        self.load
            .bandwidth
            .use_gbps(backend, &self.streams_on(backend))
    }

    /// Returns the bandwidth that a backend may use under the pool's limit, in GB/s; 0 if the
    /// backend's bandwidth is not known.
    #[must_use]
    pub fn bandwidth_limit(&self, backend: &str) -> f64 {
        let backend = self.backends.get(backend);
        let total_gbps = backend.map_or(0.0, |backend| backend.bandwidth_gbps);
        total_gbps * self.limits.max_bandwidth_share
    }

    /// Whether a backend may use `gbps` GB/s more under its limit. A backend of unknown bandwidth
    /// has no limit.
    #[must_use]
    pub fn bandwidth_fits(&self, backend: &str, gbps: f64) -> bool {
        let limit = self.bandwidth_limit(backend);
        let bounded = self.options.bandwidth_dimension && limit > 0.0;
        !bounded || self.bandwidth_use(backend) + gbps <= limit
    }

    /// Returns the smoothed number of streams on a backend, by model.
    #[must_use]
    pub fn streams_on(&self, backend: &str) -> BTreeMap<String, f64> {
        self.load.smoothed.streams_on(backend)
    }

    /// Returns the smoothed number of streams of a model over all backends.
    #[must_use]
    pub fn streams_of_model(&self, model: &str) -> f64 {
        let replicas = self.load.smoothed.replicas().iter();
        replicas
            .filter(|(key, _)| key.model == model)
            .map(|(_, mean)| mean.streams)
            .sum()
    }
}

/// Returns the utilization of a backend of which the streams use the share `decode`, and on which
/// prompts are in prefill for the share `prefill` of the time.
fn combined_utilization(decode: f64, prefill: f64) -> f64 {
    decode + (1.0 - decode).max(0.0) * prefill
}
