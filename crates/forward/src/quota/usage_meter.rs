//! How many tokens of one tenant the whole fleet admits in a second.

use millford_core::MonotonicTime;

/// Time constant of the mean, in seconds. Shorter than the windows that quotas are meant over.
const MEAN_TIME_CONSTANT_S: f64 = 2.0;

/// Exponentially weighted mean rate.
#[derive(Clone, Copy, Debug)]
pub struct UsageMeter {
    /// Tokens, each weighted by its age.
    weighted: f64,
    updated: MonotonicTime,
}

impl UsageMeter {
    /// A meter of no admissions.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            weighted: 0.0,
            updated: now,
        }
    }

    /// These tokens were admitted.
    pub fn add(&mut self, now: MonotonicTime, tokens: f64) {
        self.decay(now);
        self.weighted += tokens.max(0.0);
    }

    /// Tokens a second.
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
