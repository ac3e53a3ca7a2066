//! How memory bandwidth on a shared backend is attributed to models.
//!
//! Nodes cannot read a backend's counters. They measure tokens that come slower than the streams explain,
//! and the point at which that starts is known: the knee of the latency curve. Each observation therefore gives one
//! linear equation (or inequality, below the knee) on the models' use per stream; a projection onto it
//! (Kaczmarz's method) moves the estimates as little as the equation asks. Use that no stream in the pool
//! explains is retained per backend as foreign use and decays.

use std::collections::BTreeMap;

/// Used share of the bandwidth at which latency starts to rise steeply.
const KNEE: f64 = 0.67;
/// Assumed exponent of the rise past the knee.
const STEEPNESS: f64 = 7.0;
/// Inflation of the inter-token time above which a backend counts as stalled.
const STALL_INFLATION: f64 = 1.15;
/// Share of the error that one observation corrects.
const CORRECTION_RATE: f64 = 0.1;
/// Share of the error that goes to foreign use.
const FOREIGN_CORRECTION_RATE: f64 = 0.02;
/// Factor by which foreign use decays at each observation.
const FOREIGN_RETENTION: f64 = 0.99;
/// Largest demand that an observation may claim, as a share of the bandwidth.
const MAX_DEMAND: f64 = 3.0;

/// Measurement on one backend over one period.
#[derive(Clone, Debug, PartialEq)]
pub struct BandwidthObservation {
    /// Identity of the backend.
    pub backend: String,
    /// Its bandwidth, in GB/s.
    pub bandwidth_gbps: f64,
    /// Streams by model.
    pub streams: BTreeMap<String, f64>,
    /// Inter-token time over what the streams explain; 1 is no inflation.
    pub inflation: f64,
}

/// Estimated memory bandwidth use per stream of each model, in GB/s.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BandwidthAttribution {
    prior_stream_gbps: f64,
    declared: BTreeMap<String, f64>,
    learned: BTreeMap<String, f64>,
    foreign: BTreeMap<String, f64>,
}

impl BandwidthAttribution {
    /// Starts from a prior in GB/s per stream; models in `declared` retain their given use.
    #[must_use]
    pub fn new(prior_stream_gbps: f64, declared: BTreeMap<String, f64>) -> Self {
        Self {
            prior_stream_gbps,
            declared,
            ..Self::default()
        }
    }

    /// Use of one stream of a model, in GB/s.
    #[must_use]
    pub fn stream_gbps(&self, model: &str) -> f64 {
        let known = self.declared.get(model).or_else(|| self.learned.get(model));
        known.copied().unwrap_or(self.prior_stream_gbps)
    }

    /// Use on a backend that the pool's streams do not explain, in GB/s.
    #[must_use]
    pub fn foreign_gbps(&self, backend: &str) -> f64 {
        self.foreign.get(backend).copied().unwrap_or(0.0)
    }

    /// Estimated use of streams on a backend, foreign use included, in GB/s.
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
        own + self.foreign_gbps(backend)
    }

    /// Learns from one backend and period.
    pub fn observe(&mut self, observation: &BandwidthObservation) {
        self.decay_foreign(&observation.backend);
        let estimate = self.use_gbps(&observation.backend, &observation.streams);
        let knee_gbps = KNEE * observation.bandwidth_gbps;
        let error = if observation.inflation > STALL_INFLATION {
            // Stalled work uses less: the demand at full speed is the use times the inflation.
            let stalled_use = KNEE + observation.inflation.ln() / STEEPNESS;
            let demand = (stalled_use * observation.inflation).min(MAX_DEMAND);
            demand * observation.bandwidth_gbps - estimate
        } else if estimate > knee_gbps {
            knee_gbps - estimate
        } else {
            return;
        };
        self.project(observation, error);
        let foreign = self
            .foreign
            .entry(observation.backend.clone())
            .or_insert(0.0);
        *foreign = (*foreign + FOREIGN_CORRECTION_RATE * error).max(0.0);
    }

    /// Forgets the foreign use of the other backends.
    pub fn retain_backends(&mut self, is_retained: impl Fn(&str) -> bool) {
        self.foreign.retain(|backend, _| is_retained(backend));
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

    fn decay_foreign(&mut self, backend: &str) {
        if let Some(foreign) = self.foreign.get_mut(backend) {
            *foreign *= FOREIGN_RETENTION;
        }
    }
}
