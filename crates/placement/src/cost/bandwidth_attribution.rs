//! Attribution of the memory bandwidth use on a shared backend to models.
//!
//! Nodes cannot read a backend's hardware counters. They measure inter-token times that are longer
//! than the number of streams explains, and the bandwidth use at which that begins is known: the
//! knee of the latency curve. Each observation therefore yields one linear equation for the models'
//! use per stream (or, below the knee, an inequality). Projecting the estimates onto it (Kaczmarz's
//! method) is the smallest change that satisfies the equation. Use that the pool's streams do not
//! explain is recorded per backend as unattributed use, which decays.

use std::collections::BTreeMap;

/// Used share of a backend's bandwidth at which the latency begins to rise steeply.
const KNEE: f64 = 0.67;
/// Assumed exponent of the exponential rise of the latency above the knee.
const STEEPNESS: f64 = 7.0;
/// Inflation of the inter-token time above which a backend counts as stalled.
const STALL_INFLATION: f64 = 1.15;
/// Share of the error that one observation corrects in the models' use.
const CORRECTION_RATE: f64 = 0.1;
/// Share of the error that one observation adds to the backend's unattributed use.
const UNATTRIBUTED_CORRECTION_RATE: f64 = 0.02;
/// Factor by which unattributed use decays at each observation.
const UNATTRIBUTED_RETENTION: f64 = 0.99;
/// Highest demand that is inferred from an observation, as a share of the backend's bandwidth.
const MAX_DEMAND: f64 = 3.0;

/// Measured inter-token time on one backend, with the streams that it served meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub struct BandwidthObservation {
    /// Id of the backend.
    pub backend: String,
    /// Total memory bandwidth of the backend, in GB/s.
    pub bandwidth_gbps: f64,
    /// Mean number of streams on the backend, by model.
    pub streams: BTreeMap<String, f64>,
    /// Measured inter-token time divided by the time expected for the number of streams; 1 means
    /// that it is as expected.
    pub inflation: f64,
}

/// Estimated memory bandwidth use per stream of each model, in GB/s.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BandwidthAttribution {
    prior_stream_gbps: f64,
    declared: BTreeMap<String, f64>,
    learned: BTreeMap<String, f64>,
    unattributed: BTreeMap<String, f64>,
}

impl BandwidthAttribution {
    /// Creates an attribution in which each model uses `prior_stream_gbps` GB/s per stream until it
    /// is learned. Models in `declared` always have the use given there.
    #[must_use]
    pub fn new(prior_stream_gbps: f64, declared: BTreeMap<String, f64>) -> Self {
        Self {
            prior_stream_gbps,
            declared,
            ..Self::default()
        }
    }

    /// Returns the estimated use of one stream of a model, in GB/s.
    #[must_use]
    pub fn stream_gbps(&self, model: &str) -> f64 {
        let known = self.declared.get(model).or_else(|| self.learned.get(model));
        known.copied().unwrap_or(self.prior_stream_gbps)
    }

    /// Returns the use on a backend that the pool's streams do not explain, in GB/s.
    #[must_use]
    pub fn unattributed_gbps(&self, backend: &str) -> f64 {
        self.unattributed.get(backend).copied().unwrap_or(0.0)
    }

    /// Returns the estimated use of these streams on a backend plus its unattributed use, in GB/s.
    #[must_use]
    pub fn use_gbps<'a>(
        &self,
        backend: &str,
        streams: impl IntoIterator<Item = (&'a String, &'a f64)>,
    ) -> f64 {
        let own: f64 = streams
            .into_iter()
            .map(|(model, count)| self.stream_gbps(model) * count)
            .sum();
        own + self.unattributed_gbps(backend)
    }

    /// Updates the estimates with an observation.
    pub fn observe(&mut self, observation: &BandwidthObservation) {
        self.decay_unattributed(&observation.backend);
        let estimate = self.use_gbps(&observation.backend, &observation.streams);
        let knee_gbps = KNEE * observation.bandwidth_gbps;
        let error = if observation.inflation > STALL_INFLATION {
            // Work that stalls on memory uses less bandwidth than it would without the stall. The
            // demand at full speed is the actual use times the inflation.
            let stalled_use = KNEE + observation.inflation.ln() / STEEPNESS;
            let demand = (stalled_use * observation.inflation).min(MAX_DEMAND);
            demand * observation.bandwidth_gbps - estimate
        } else if estimate > knee_gbps {
            knee_gbps - estimate
        } else {
            return;
        };
        self.project(observation, error);
        let unattributed = self
            .unattributed
            .entry(observation.backend.clone())
            .or_insert(0.0);
        *unattributed = (*unattributed + UNATTRIBUTED_CORRECTION_RATE * error).max(0.0);
    }

    /// Removes the unattributed use of backends that are not retained.
    pub fn retain_backends(&mut self, is_retained: impl Fn(&str) -> bool) {
        self.unattributed.retain(|backend, _| is_retained(backend));
    }

    /// Moves the estimates of the models with streams towards the observation.
    fn project(&mut self, observation: &BandwidthObservation, error: f64) {
        let length: f64 = observation
            .streams
            .values()
            .map(|count| count * count)
            .sum();
        if length <= 0.0 {
            return;
        }
        for (model, count) in &observation.streams {
            let present = self.stream_gbps(model);
            let moved = present + CORRECTION_RATE * error * count / length;
            self.learned.insert(model.clone(), moved.max(0.0));
        }
    }

    fn decay_unattributed(&mut self, backend: &str) {
        if let Some(unattributed) = self.unattributed.get_mut(backend) {
            *unattributed *= UNATTRIBUTED_RETENTION;
        }
    }
}
