//! Online least squares with exponential forgetting.

/// How much an old sample still counts after each new one.
const FORGETTING: f64 = 0.98;

/// Samples needed before the fit is trusted over its prior.
const ENOUGH_SAMPLES: f64 = 4.0;

/// A line `base + slope * x` fitted to samples, never falling.
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
    /// A fit that answers with the prior until enough samples came.
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

    /// Adds one sample.
    pub fn add(&mut self, x: f64, y: f64) {
        self.weight = self.weight * FORGETTING + 1.0;
        self.sum_x = self.sum_x * FORGETTING + x;
        self.sum_y = self.sum_y * FORGETTING + y;
        self.sum_xx = self.sum_xx * FORGETTING + x * x;
        self.sum_xy = self.sum_xy * FORGETTING + x * y;
    }

    /// The fitted slope, at least 0.
    #[must_use]
    pub fn slope(&self) -> f64 {
        let spread = self.weight * self.sum_xx - self.sum_x * self.sum_x;
        if self.weight < ENOUGH_SAMPLES || spread < 1.0 {
            return self.prior_slope;
        }
        let slope = (self.weight * self.sum_xy - self.sum_x * self.sum_y) / spread;
        slope.max(0.0)
    }

    /// The fitted value at 0, at least 0.
    #[must_use]
    pub fn base(&self) -> f64 {
        if self.weight < ENOUGH_SAMPLES {
            return self.prior_base;
        }
        let base = (self.sum_y - self.slope() * self.sum_x) / self.weight;
        base.max(0.0)
    }

    /// The fitted value at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.base() + self.slope() * x
    }
}
