//! Measures the rate at which the whole fleet admits tokens of one tenant.

use millford_core::MonotonicTime;

/// Time constant of the mean, in seconds. It is shorter than the windows over which quotas are enforced.
const MEAN_TIME_CONSTANT_S: f64 = 2.0;

/// Exponentially weighted mean of the admission rate.
#[derive(Clone, Copy, Debug)]
pub struct UsageMeter {
    /// Sum of the admitted tokens, each weighted down by its age.
    weighted: f64,
    updated: MonotonicTime,
}

impl UsageMeter {
    /// Creates a meter with rate 0.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            weighted: 0.0,
            updated: now,
        }
    }

    /// Adds tokens that were admitted; a negative number is ignored.
    pub fn add(&mut self, now: MonotonicTime, tokens: f64) {
        self.decay(now);
        self.weighted += tokens.max(0.0);
    }

    /// Returns the rate, in tokens per second.
    pub fn rate(&mut self, now: MonotonicTime) -> f64 {
        self.decay(now);
        self.weighted / MEAN_TIME_CONSTANT_S
    }

    fn decay(&mut self, now: MonotonicTime) {
        let passed = now.since(self.updated).as_secs_f64();
        self.weighted *= (-passed / MEAN_TIME_CONSTANT_S).exp();
        self.updated = now;
    }
}
