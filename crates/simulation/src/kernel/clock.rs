//! Monotonic clock of a simulated process.

use millford_core::MonotonicTime;

const MILLION: i128 = 1_000_000;

/// A clock with any start value, which drifts and may jump ahead.
///
/// It never steps back: the code under test only uses the monotonic clock, which guarantees that. Wall
/// clocks jump both ways, but that code has no access to one.
#[derive(Clone, Debug)]
pub struct ProcessClock {
    base_true: MonotonicTime,
    base_local: MonotonicTime,
    drift_ppm: i32,
}

impl ProcessClock {
    /// Creates a clock that reads `local` at simulated time `now` and drifts by `drift_ppm` parts per million;
    /// negative is slow.
    #[must_use]
    pub fn new(now: MonotonicTime, local: MonotonicTime, drift_ppm: i32) -> Self {
        Self {
            base_true: now,
            base_local: local,
            drift_ppm,
        }
    }

    /// Returns the reading of the clock at simulated time `now`.
    #[must_use]
    pub fn local(&self, now: MonotonicTime) -> MonotonicTime {
        let elapsed = i128::from(now.as_micros()) - i128::from(self.base_true.as_micros());
        let shown = elapsed + elapsed * i128::from(self.drift_ppm) / MILLION;
        let local = i128::from(self.base_local.as_micros()) + shown.max(0);
        MonotonicTime::from_micros(u64::try_from(local).unwrap_or(u64::MAX))
    }

    /// Moves the clock ahead by `micros` microseconds at simulated time `now`.
    pub fn jump(&mut self, now: MonotonicTime, micros: u64) {
        let local = self.local(now).as_micros().saturating_add(micros);
        self.base_local = MonotonicTime::from_micros(local);
        self.base_true = now;
    }

    /// Changes the drift at simulated time `now`, without a step of the reading.
    pub fn set_drift(&mut self, now: MonotonicTime, drift_ppm: i32) {
        self.base_local = self.local(now);
        self.base_true = now;
        self.drift_ppm = drift_ppm;
    }
}
