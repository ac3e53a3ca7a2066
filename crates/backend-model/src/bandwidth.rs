//! Curve of memory latency over the use of the memory bandwidth.

/// Default [`LatencyCurve::knee`].
pub const DEFAULT_KNEE: f64 = 0.67;
/// Default [`LatencyCurve::steepness`].
pub const DEFAULT_STEEPNESS: f64 = 7.0;
/// Default [`LatencyCurve::gentle_slope`].
pub const DEFAULT_GENTLE_SLOPE: f64 = 0.1;
/// Upper bound of [`LatencyCurve::slowdown`].
pub const MAX_SLOWDOWN: f64 = 40.0;

/// Steps of the bisection that solves for the steady-state use of the bandwidth.
const BISECTION_STEPS: u32 = 40;

/// Slowdown factor of memory-bound work as a function of bandwidth use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyCurve {
    /// Bandwidth use past which latency grows exponentially, as a share of the bandwidth.
    pub knee: f64,
    /// Growth of the exponent per unit of bandwidth use past the knee.
    pub steepness: f64,
    /// Linear growth of latency per unit of bandwidth use, below and past the knee.
    pub gentle_slope: f64,
}

impl Default for LatencyCurve {
    fn default() -> Self {
        Self {
            knee: DEFAULT_KNEE,
            steepness: DEFAULT_STEEPNESS,
            gentle_slope: DEFAULT_GENTLE_SLOPE,
        }
    }
}

impl LatencyCurve {
    /// Returns the slowdown at a bandwidth use (1.0 is the full bandwidth). At least 1, at most
    /// [`MAX_SLOWDOWN`], and monotonic in `utilization`.
    #[must_use]
    pub fn slowdown(&self, utilization: f64) -> f64 {
        let gentle = 1.0 + self.gentle_slope * utilization.max(0.0);
        let past_knee = (utilization - self.knee).max(0.0);
        let steep = (self.steepness * past_knee).exp();
        (gentle * steep).min(MAX_SLOWDOWN)
    }

    /// Returns the slowdown under a demand for bandwidth without stalls (1.0 is the full bandwidth).
    ///
    /// Stalled work uses less bandwidth. In the steady state, use times slowdown equals the demand, and the
    /// use is at most 1.
    #[must_use]
    pub fn steady_state_slowdown(&self, demand: f64) -> f64 {
        if demand <= 0.0 {
            return 1.0;
        }
        let mut low = 0.0;
        let mut high = demand.min(1.0);
        for _ in 0..BISECTION_STEPS {
            let middle = f64::midpoint(low, high);
            if middle * self.slowdown(middle) < demand {
                low = middle;
            } else {
                high = middle;
            }
        }
        (demand / high).max(1.0)
    }
}
