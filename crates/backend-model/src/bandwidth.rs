//! How memory latency rises with the use of the memory bandwidth.

/// Use of the memory bandwidth past which latency rises steeply, as a share of the bandwidth.
pub const DEFAULT_KNEE: f64 = 0.67;
/// Growth of the exponent past the knee, per unit of bandwidth use.
pub const DEFAULT_STEEPNESS: f64 = 7.0;
/// Growth of latency below the knee, per unit of bandwidth use.
pub const DEFAULT_GENTLE_SLOPE: f64 = 0.1;
/// Largest slowdown that the curve gives.
pub const MAX_SLOWDOWN: f64 = 40.0;

/// Halvings of the interval in which the steady-state use is sought.
const BISECTION_STEPS: u32 = 40;

/// Factor on the time of memory-bound work as a function of bandwidth use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyCurve {
    /// Bandwidth use at which the steep part starts, as a share of the bandwidth.
    pub knee: f64,
    /// Exponent per unit of bandwidth use past the knee.
    pub steepness: f64,
    /// Linear growth per unit of bandwidth use, everywhere.
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
    /// Slowdown at a bandwidth use (1.0 is the full bandwidth); at least 1 and never falling.
    #[must_use]
    pub fn slowdown(&self, utilization: f64) -> f64 {
        let gentle = 1.0 + self.gentle_slope * utilization.max(0.0);
        let past_knee = (utilization - self.knee).max(0.0);
        let steep = (self.steepness * past_knee).exp();
        (gentle * steep).min(MAX_SLOWDOWN)
    }

    /// Slowdown under a demand at full pace (1.0 is the full bandwidth).
    ///
    /// Slowed work needs less: the steady state is where use times slowdown is the demand, at most at 1.
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
