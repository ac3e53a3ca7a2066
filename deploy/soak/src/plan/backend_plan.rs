//! Disruptions of the backends.

use std::time::Duration;

use rand::Rng;

use super::millis;

/// One backend is replaced, or crashes and is replaced, after a pause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendStep {
    /// Time after the previous step.
    pub pause: Duration,
    /// Whether the backend drains before it ends; otherwise it ends at once.
    pub drains: bool,
    /// Time for which a draining backend serves on after the drain bound.
    pub linger: Duration,
}

impl BackendStep {
    /// Draws a step.
    #[must_use]
    pub fn draw(random: &mut impl Rng) -> Self {
        Self {
            pause: millis(random, 1000, 6000),
            drains: random.random_bool(0.8),
            linger: millis(random, 1000, 8000),
        }
    }
}
