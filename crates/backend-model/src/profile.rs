//! Processor and memory costs of a model.

/// Costs of one model. They do not depend on the backend, whose cores and bandwidth only limit them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelProfile {
    /// Processor time of one uncached prompt token, in core microseconds.
    pub prefill_core_micros_per_token: f64,
    /// Memory traffic of one busy core during prefill, in GB/s.
    pub prefill_gbps_per_core: f64,
    /// Fixed part of the time of a decode step, in microseconds.
    pub decode_base_micros: f64,
    /// Time that each stream adds to a decode step, in microseconds.
    pub decode_stream_micros: f64,
    /// Cores that one stream keeps busy when neither cores nor bandwidth are short.
    pub decode_cores_per_stream: f64,
    /// Weights read in each decode step, in GB.
    pub weights_gigabytes: f64,
    /// Key-value cache read for each stream in each decode step, in GB.
    pub stream_gigabytes: f64,
}

impl ModelProfile {
    /// Returns the profile of a large model: slow prefill, large weights.
    #[must_use]
    pub fn heavy() -> Self {
        Self {
            prefill_core_micros_per_token: 1600.0,
            prefill_gbps_per_core: 1.0,
            decode_base_micros: 24_000.0,
            decode_stream_micros: 500.0,
            decode_cores_per_stream: 0.35,
            weights_gigabytes: 1.2,
            stream_gigabytes: 0.06,
        }
    }

    /// Returns the profile of a small model: fast prefill, small weights.
    #[must_use]
    pub fn light() -> Self {
        Self {
            prefill_core_micros_per_token: 160.0,
            prefill_gbps_per_core: 0.5,
            decode_base_micros: 8_000.0,
            decode_stream_micros: 120.0,
            decode_cores_per_stream: 0.08,
            weights_gigabytes: 0.12,
            stream_gigabytes: 0.006,
        }
    }

    /// Returns the time of one decode step of `streams` streams on an otherwise idle backend, in
    /// microseconds.
    #[must_use]
    pub fn step_micros(&self, streams: usize) -> f64 {
        self.decode_base_micros + self.decode_stream_micros * streams as f64
    }

    /// Returns the memory traffic of `streams` streams that are not slowed down, in GB/s.
    #[must_use]
    pub fn decode_gbps(&self, streams: usize) -> f64 {
        if streams == 0 {
            return 0.0;
        }
        let gigabytes = self.weights_gigabytes + self.stream_gigabytes * streams as f64;
        gigabytes / (self.step_micros(streams) / 1_000_000.0)
    }
}
