//! Recursive fit of a line to samples with one-sided noise.

/// Factor by which the weight of old samples shrinks at each new one: about the last 300 samples
/// determine the fit.
pub const FORGETTING_FACTOR: f64 = 0.9967;
/// Weight of a sample above the line relative to one below it. It is below 1 because waiting only
/// adds time.
pub const ABOVE_LINE_WEIGHT: f64 = 0.15;
/// Initial variance of the coefficients, relative to their scale.
const START_VARIANCE: f64 = 1e4;
/// Upper limit of the variance, which would otherwise grow without bound under constant input.
const VARIANCE_LIMIT: f64 = 1e6;
/// Number of samples after which the fit is preferred over its prior.
const TRUSTED_SAMPLES: u32 = 8;

/// Line `y = intercept + slope * x`, fitted by recursive least squares with a forgetting factor.
///
/// Returned values are never below 0. Internally the coefficients may be negative, because limiting
/// them would bias the fit. Times measured on busy backends contain waiting time, which only adds
/// to the cost. Samples above the line therefore weigh less than those below it (an expectile fit),
/// so that the line approximates the unloaded cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    intercept: f64,
    slope: f64,
    /// Entries of the covariance matrix: intercept, cross term, slope.
    covariance: [f64; 3],
    /// Divisor of x, so that both coefficients have a similar magnitude internally.
    x_scale: f64,
    samples: u32,
}

impl LineFit {
    /// Creates a fit whose prior is the line with this intercept and slope. `x_scale` is a typical
    /// value of x, above 0.
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

    /// Adds a sample. A sample with a value that is not finite is ignored.
    pub fn observe(&mut self, x: f64, y: f64) {
        if !x.is_finite() || !y.is_finite() {
            return;
        }
        let scaled = x / self.x_scale;
        let residual = y - (self.intercept + self.slope * scaled);
        let weight = if residual > 0.0 {
            ABOVE_LINE_WEIGHT
        } else {
            1.0
        };
        let [first, cross, second] = self.covariance;
        let direction_intercept = first + cross * scaled;
        let direction_slope = cross + second * scaled;
        let denominator =
            FORGETTING_FACTOR / weight + direction_intercept + direction_slope * scaled;
        let gain_intercept = direction_intercept / denominator;
        let gain_slope = direction_slope / denominator;
        self.intercept += gain_intercept * residual;
        self.slope += gain_slope * residual;
        self.covariance = [
            limit((first - gain_intercept * direction_intercept) / FORGETTING_FACTOR),
            (cross - gain_intercept * direction_slope) / FORGETTING_FACTOR,
            limit((second - gain_slope * direction_slope) / FORGETTING_FACTOR),
        ];
        self.keep_covariance_valid();
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the value of the line at `x`, at least 0.
    #[must_use]
    pub fn value(&self, x: f64) -> f64 {
        (self.intercept + self.slope * x / self.x_scale).max(0.0)
    }

    /// Returns the value of the line at 0, at least 0.
    #[must_use]
    pub fn intercept(&self) -> f64 {
        self.intercept.max(0.0)
    }

    /// Returns the increase per unit of x, at least 0.
    #[must_use]
    pub fn slope(&self) -> f64 {
        (self.slope / self.x_scale).max(0.0)
    }

    /// Whether the fit has enough samples to be preferred over its prior.
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
