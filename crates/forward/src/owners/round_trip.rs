//! How long an answer of another node takes.

use std::time::Duration;

/// Before any answer was seen.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(20);
/// Below this a timeout would count answers as lost that a busy node sends after its present task. A choice
/// without them costs far more: a prompt of some thousand tokens that is read again.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(15);
/// A choice does not wait longer, whatever answers took before.
const LONGEST_TIMEOUT: Duration = Duration::from_millis(40);
/// Share of the newest sample in the mean, from RFC 6298.
const MEAN_SHARE: f64 = 1.0 / 8.0;
/// Share of the newest deviation in the mean deviation, from RFC 6298.
const DEVIATION_SHARE: f64 = 1.0 / 4.0;
/// Deviations above the mean after which an answer counts as lost, from RFC 6298.
const DEVIATIONS: f64 = 4.0;

/// Smoothed round trip and its deviation, as in RFC 6298.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTrip {
    smoothed: Option<(f64, f64)>,
}

impl RoundTrip {
    /// An answer took this long.
    pub fn add(&mut self, taken: Duration) {
        let taken = taken.as_secs_f64();
        self.smoothed = Some(match self.smoothed {
            None => (taken, taken / 2.0),
            Some((mean, deviation)) => {
                let off = (mean - taken).abs();
                let deviation = deviation + DEVIATION_SHARE * (off - deviation);
                (mean + MEAN_SHARE * (taken - mean), deviation)
            }
        });
    }

    /// How long to wait for an answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let Some((mean, deviation)) = self.smoothed else {
            return INITIAL_TIMEOUT;
        };
        let timeout = Duration::from_secs_f64(mean + DEVIATIONS * deviation);
        timeout.clamp(SHORTEST_TIMEOUT, LONGEST_TIMEOUT)
    }
}
