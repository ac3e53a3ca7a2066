//! Recursive fit of a line under one-sided noise.

/// Factor on the weight of old samples at each new one: about the last 300 samples count.
pub const FORGETTING: f64 = 0.9967;
/// Weight of a sample above the line against one below: waiting only ever adds time.
pub const ABOVE_WEIGHT: f64 = 0.15;
/// Starting uncertainty of the coefficients, relative to their scale.
const START_VARIANCE: f64 = 1e4;
/// Cap on the uncertainty, so that forgetting under constant input cannot blow it up.
const VARIANCE_LIMIT: f64 = 1e6;
/// Samples before the fit is trusted.
const TRUSTED_SAMPLES: u32 = 8;

/// `y = intercept + slope * x` by recursive least squares with forgetting.
///
/// Reported values are never below 0; inside, the coefficients move freely, or the fit would be biased.
/// Times measured on busy backends contain waiting, which only adds. Samples above the line therefore
/// weigh less than those below (an expectile fit), so that the line is near the unloaded cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    intercept: f64,
    slope: f64,
    /// Covariance: intercept, cross term, slope.
    covariance: [f64; 3],
    /// Scale of x, so that both coefficients are of one magnitude inside.
    x_scale: f64,
    samples: u32,
}

impl LineFit {
    /// A fit that starts at a prior. `x_scale` is a typical x, above 0.
    #[must_use]
    pub fn new(intercept: f64, slope: f64, x_scale: f64) -> Self {
        Self {
            intercept,
            slope: slope * x_scale,
            covariance: [START_VARIANCE, 0.0, START_VARIANCE],
            x_scale,
            samples: 0,
        }
    }

    /// Takes a sample. Values that are not finite are ignored.
    pub fn observe(&mut self, x: f64, y: f64) {
        if !x.is_finite() || !y.is_finite() {
            return;
        }
        let scaled = x / self.x_scale;
        let residual = y - (self.intercept + self.slope * scaled);
        let weight = if residual > 0.0 { ABOVE_WEIGHT } else { 1.0 };
        let [first, cross, second] = self.covariance;
        let direction_intercept = first + cross * scaled;
        let direction_slope = cross + second * scaled;
        let denominator = FORGETTING / weight + direction_intercept + direction_slope * scaled;
        let gain_intercept = direction_intercept / denominator;
        let gain_slope = direction_slope / denominator;
        self.intercept += gain_intercept * residual;
        self.slope += gain_slope * residual;
        self.covariance = [
            limit((first - gain_intercept * direction_intercept) / FORGETTING),
            (cross - gain_intercept * direction_slope) / FORGETTING,
            limit((second - gain_slope * direction_slope) / FORGETTING),
        ];
        self.keep_covariance_valid();
        self.samples = self.samples.saturating_add(1);
    }

    /// The fitted value at `x`.
    #[must_use]
    pub fn value(&self, x: f64) -> f64 {
        (self.intercept + self.slope * x / self.x_scale).max(0.0)
    }

    /// Value at 0.
    #[must_use]
    pub fn intercept(&self) -> f64 {
        self.intercept.max(0.0)
    }

    /// Growth per unit of x.
    #[must_use]
    pub fn slope(&self) -> f64 {
        (self.slope / self.x_scale).max(0.0)
    }

    /// Whether enough samples were seen to prefer the fit over its prior.
    #[must_use]
    pub fn is_trusted(&self) -> bool {
        self.samples >= TRUSTED_SAMPLES
    }

    fn keep_covariance_valid(&mut self) {
        let [first, cross, second] = self.covariance;
        let bound = 0.999 * (first * second).sqrt();
        self.covariance[1] = cross.clamp(-bound, bound);
    }
}

fn limit(variance: f64) -> f64 {
    variance.clamp(1e-9, VARIANCE_LIMIT)
}
