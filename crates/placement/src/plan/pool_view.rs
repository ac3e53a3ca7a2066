//! Input of one planning tick: the pool, its backends, and the estimated use of processor time and
//! memory bandwidth.

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

/// Learned costs and measured load of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLoad<'a> {
    /// Learned costs.
    pub costs: &'a CostModel,
    /// Learned bandwidth use.
    pub bandwidth: &'a BandwidthAttribution,
    /// Work in flight now.
    pub work: &'a BTreeMap<ReplicaKey, ReplicaWork>,
    /// Work in flight, smoothed over some seconds.
    pub smoothed: &'a SmoothedLoad,
}

/// Input of the planning steps.
pub struct PoolView<'a> {
    /// Time of the tick.
    pub now: MonotonicTime,
    /// Options of the placer.
    pub options: &'a PlacerOptions,
    /// The pool's limits.
    pub limits: PoolLimits,
    /// The pool's backends.
    pub backends: &'a BTreeMap<String, Backend>,
    /// Learned costs and work in flight.
    pub load: PoolLoad<'a>,
    /// Models and versions that the active backends declare.
    pub declared: DeclaredModels,
    target_version: String,
}

impl<'a> PoolView<'a> {
    /// Gathers the view of a pool.
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

    /// The version of the model that the pool should serve.
    ///
    /// It is the pool's target version where a backend declares it, else the highest declared.
    #[must_use]
    pub fn target_version(&self, model: &str) -> Option<&str> {
        self.declared.target_version(model, &self.target_version)
    }

    /// Active backends that declare the model's target version.
    #[must_use]
    pub fn backends_of_target(&self, model: &str) -> BTreeSet<&str> {
        let target = self.target_version(model).unwrap_or_default();
        self.declared.backends_of_version(model, target)
    }

    /// Whether the backend takes new work.
    #[must_use]
    pub fn is_active(&self, backend: &str) -> bool {
        self.backends
            .get(backend)
            .is_some_and(|backend| backend.state() == BackendState::BackendActive)
    }

    /// Active backends of the pool.
    pub fn active_backends(&self) -> impl Iterator<Item = &'a Backend> {
        self.backends
            .values()
            .filter(|backend| backend.state() == BackendState::BackendActive)
    }

    /// Share of a backend that all the work on it keeps busy, smoothed.
    ///
    /// Prefill takes every core that decode leaves, so that the backend is busy while any prompt is in
    /// service, and otherwise to the extent of its streams. Derived from counts in flight only.
    #[must_use]
    pub fn utilization(&self, backend: &str) -> f64 {
        let decode: f64 = self
            .streams_on(backend)
            .iter()
            .map(|(model, streams)| self.load.costs.decode_utilization(model, *streams))
            .sum();
        combine(decode, self.load.smoothed.prefill_busy(backend))
    }

    /// Share of a backend that one model's work keeps busy, smoothed.
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
        combine(decode, prefill)
    }

    /// Utilization of one model summed over the backends: how many full backends it keeps busy.
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

    /// Whether any work of the model was reported lately.
    #[must_use]
    pub fn has_load(&self, model: &str) -> bool {
        let mut replicas = self.load.smoothed.replicas().keys();
        replicas.any(|key| key.model == model)
    }

    /// Mean utilization of the active backends, the work that draining ones must still move included.
    #[must_use]
    pub fn pool_utilization(&self) -> f64 {
        let busy: f64 = self
            .backends
            .keys()
            .map(|backend| self.utilization(backend))
            .sum();
        busy / self.active_backends().count().max(1) as f64
    }

    /// Estimated bandwidth use of a backend, in GB/s.
    #[must_use]
    pub fn bandwidth_use(&self, backend: &str) -> f64 {
        self.load
            .bandwidth
            .use_gbps(backend, &self.streams_on(backend))
    }

    /// Bandwidth that a backend may use under the pool's limit, in GB/s; 0 when its bandwidth is not
    /// known.
    #[must_use]
    pub fn bandwidth_limit(&self, backend: &str) -> f64 {
        let backend = self.backends.get(backend);
        let total_gbps = backend.map_or(0.0, |backend| backend.bandwidth_gbps);
        total_gbps * self.limits.max_bandwidth_share
    }

    /// Whether a backend may take `gbps` more under its limit, in GB/s. One of unknown bandwidth may.
    #[must_use]
    pub fn bandwidth_fits(&self, backend: &str, gbps: f64) -> bool {
        let limit = self.bandwidth_limit(backend);
        let bounded = self.options.bandwidth_dimension && limit > 0.0;
        !bounded || self.bandwidth_use(backend) + gbps <= limit
    }

    /// Streams on a backend by model, smoothed.
    #[must_use]
    pub fn streams_on(&self, backend: &str) -> BTreeMap<String, f64> {
        self.load.smoothed.streams_on(backend)
    }

    /// Smoothed streams of a model over all backends.
    #[must_use]
    pub fn streams_of_model(&self, model: &str) -> f64 {
        let replicas = self.load.smoothed.replicas().iter();
        replicas
            .filter(|(key, _)| key.model == model)
            .map(|(_, mean)| mean.streams)
            .sum()
    }
}

/// Busy share of a backend whose streams use the share `decode` of it, and where prompts are in service
/// for the share `prefill` of the time.
fn combine(decode: f64, prefill: f64) -> f64 {
    decode + (1.0 - decode).max(0.0) * prefill
}
