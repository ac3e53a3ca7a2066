//! Estimates how long the reply of another node takes.

use std::time::Duration;

/// Timeout before any reply was received.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(20);
/// Shortest timeout. A shorter one would miss the replies of a busy node that first completes its current task. A
/// choice without these replies costs far more than the wait: it may prefill a prompt of several thousand tokens
/// again.
const MIN_TIMEOUT: Duration = Duration::from_millis(15);
/// Longest timeout, regardless of the measured round trips.
const MAX_TIMEOUT: Duration = Duration::from_millis(40);
/// Weight of the newest sample in the mean, alpha of RFC 6298.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the newest deviation in the mean deviation, beta of RFC 6298.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations above the mean after which a reply counts as lost, K of RFC 6298.
const DEVIATIONS: f64 = 4.0;

/// Smoothed round trip and its mean deviation, in seconds.
#[derive(Clone, Copy, Debug)]
struct Smoothed {
    mean_s: f64,
    deviation_s: f64,
}

/// Computes the request timeout from measured round trips, as in RFC 6298.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTrip {
    /// `None` before the first reply.
    smoothed: Option<Smoothed>,
}

impl RoundTrip {
    /// Adds the measured round trip of one request.
    pub fn add_sample(&mut self, sample: Duration) {
        let sample_s = sample.as_secs_f64();
        self.smoothed = Some(match self.smoothed {
            None => Smoothed {
                mean_s: sample_s,
                deviation_s: sample_s / 2.0,
            },
            Some(Smoothed {
                mean_s,
                deviation_s,
            }) => {
                let difference_s = (mean_s - sample_s).abs();
                Smoothed {
                    mean_s: mean_s + MEAN_WEIGHT * (sample_s - mean_s),
                    deviation_s: deviation_s + DEVIATION_WEIGHT * (difference_s - deviation_s),
                }
            }
        });
    }

    /// Returns how long to wait for a reply.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let Some(Smoothed {
            mean_s,
            deviation_s,
        }) = self.smoothed
        else {
            return INITIAL_TIMEOUT;
        };
        let timeout = Duration::from_secs_f64(mean_s + DEVIATIONS * deviation_s);
        timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
