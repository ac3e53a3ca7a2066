//! Running mean that follows slow changes.

/// Smallest weight of a new sample, from 0 to 1.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;

/// Number of samples that the prior counts as.
const PRIOR_SAMPLES: u32 = 2;

/// A running mean that starts at a prior. It averages the first samples equally, then discounts old
/// samples exponentially.
#[derive(Clone, Copy, Debug)]
pub struct RunningMean {
    value: f64,
    samples: u32,
}

impl RunningMean {
    /// Creates a mean with the value `prior`.
    #[must_use]
    pub fn with_prior(prior: f64) -> Self {
        Self {
            value: prior,
            samples: PRIOR_SAMPLES,
        }
    }

    /// Adds a sample. Its weight decreases with the number of samples down to `MIN_SAMPLE_WEIGHT`.
    pub fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_SAMPLE_WEIGHT);
        self.value += (sample - self.value) * weight;
    }

    /// Returns the mean, or the prior before the first sample.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }
}
