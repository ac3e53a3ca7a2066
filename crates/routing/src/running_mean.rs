//! Mean that follows slow changes.

/// Smallest weight of a new sample.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;

/// Samples that the prior counts as.
const PRIOR_SAMPLES: u32 = 2;

/// A mean that starts at a prior, learns fast at first and then forgets slowly.
#[derive(Clone, Copy, Debug)]
pub struct RunningMean {
    value: f64,
    samples: u32,
}

impl RunningMean {
    /// A mean before any sample.
    #[must_use]
    pub fn with_prior(prior: f64) -> Self {
        Self {
            value: prior,
            samples: PRIOR_SAMPLES,
        }
    }

    /// Adds one sample.
    pub fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_SAMPLE_WEIGHT);
        self.value += (sample - self.value) * weight;
    }

    /// The mean.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }
}
