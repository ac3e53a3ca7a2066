//! Online least squares with exponential forgetting.

/// Factor by which each new sample reduces the weight of the earlier ones.
const DECAY_PER_SAMPLE: f64 = 0.98;

/// Sum of sample weights from which the fit replaces the prior.
const MIN_TOTAL_WEIGHT: f64 = 4.0;

/// A line `base + slope * x` fitted to samples, with base and slope of at least 0.
#[derive(Clone, Copy, Debug)]
pub struct LinearFit {
    prior_base: f64,
    prior_slope: f64,
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl LinearFit {
    /// Creates a fit that returns the prior until it has enough samples.
    #[must_use]
    pub fn with_prior(prior_base: f64, prior_slope: f64) -> Self {
        Self {
            prior_base,
            prior_slope,
            weight: 0.0,
            sum_x: 0.0,
            sum_y: 0.0,
            sum_xx: 0.0,
            sum_xy: 0.0,
        }
    }

    /// Adds the sample `y` at `x`.
    pub fn add(&mut self, x: f64, y: f64) {
        self.weight = self.weight * DECAY_PER_SAMPLE + 1.0;
        self.sum_x = self.sum_x * DECAY_PER_SAMPLE + x;
        self.sum_y = self.sum_y * DECAY_PER_SAMPLE + y;
        self.sum_xx = self.sum_xx * DECAY_PER_SAMPLE + x * x;
        self.sum_xy = self.sum_xy * DECAY_PER_SAMPLE + x * y;
    }

    /// Returns the slope, at least 0: the prior one if there are too few samples or they hardly differ
    /// in `x`.
    #[must_use]
    pub fn slope(&self) -> f64 {
        let spread = self.weight * self.sum_xx - self.sum_x * self.sum_x;
        if self.weight < MIN_TOTAL_WEIGHT || spread < 1.0 {
            return self.prior_slope;
        }
        let slope = (self.weight * self.sum_xy - self.sum_x * self.sum_y) / spread;
        slope.max(0.0)
    }

    /// Returns the fitted value at 0, at least 0.
    #[must_use]
    pub fn base(&self) -> f64 {
        if self.weight < MIN_TOTAL_WEIGHT {
            return self.prior_base;
        }
        let base = (self.sum_y - self.slope() * self.sum_x) / self.weight;
        base.max(0.0)
    }

    /// Returns the fitted value at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.base() + self.slope() * x
    }
}
