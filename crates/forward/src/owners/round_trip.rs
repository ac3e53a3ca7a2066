//! How long the reply of another node takes.

use std::time::Duration;

/// Timeout before any reply was received.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(20);
/// Below this a timeout would count replies as lost that a busy node sends after its present task. A choice
/// without them costs far more: a prompt of some thousand tokens that is read again.
const MIN_TIMEOUT: Duration = Duration::from_millis(15);
/// A choice does not wait longer, whatever replies took before.
const MAX_TIMEOUT: Duration = Duration::from_millis(40);
/// Weight of the newest sample in the mean, alpha of RFC 6298.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the newest deviation in the mean deviation, beta of RFC 6298.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations above the mean after which a reply counts as lost, K of RFC 6298.
const DEVIATIONS: f64 = 4.0;

/// Smoothed round trip, in seconds.
#[derive(Clone, Copy, Debug)]
struct Smoothed {
    mean_s: f64,
    deviation_s: f64,
}

/// Smoothed round trip and its deviation, as in RFC 6298.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTrip {
    smoothed: Option<Smoothed>,
}

impl RoundTrip {
    /// A reply took this long.
    pub fn add(&mut self, taken: Duration) {
        let taken_s = taken.as_secs_f64();
        self.smoothed = Some(match self.smoothed {
            None => Smoothed {
                mean_s: taken_s,
                deviation_s: taken_s / 2.0,
            },
            Some(Smoothed {
                mean_s,
                deviation_s,
            }) => {
                let off_s = (mean_s - taken_s).abs();
                Smoothed {
                    mean_s: mean_s + MEAN_WEIGHT * (taken_s - mean_s),
                    deviation_s: deviation_s + DEVIATION_WEIGHT * (off_s - deviation_s),
                }
            }
        });
    }

    /// How long to wait for a reply.
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
