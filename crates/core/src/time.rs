//! Monotonic time, real or simulated.
//!
//! millford makes no decision by the wall clock, since wall clocks can jump.

use std::ops::{Add, Sub};

pub use std::time::Duration;

/// A point in time, in microseconds since the start of the process's or the simulation's clock.
///
/// Values of different processes must not be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The start of the clock.
    pub const ZERO: MonotonicTime = MonotonicTime(0);

    /// Returns the time at `micros` microseconds from the start of the clock.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the time at `millis` milliseconds from the start of the clock.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the microseconds since the start of the clock.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the start of the clock.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the time elapsed since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: MonotonicTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = MonotonicTime;

    fn add(self, duration: Duration) -> MonotonicTime {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        MonotonicTime(self.0.saturating_add(micros))
    }
}

impl Sub<MonotonicTime> for MonotonicTime {
    type Output = Duration;

    fn sub(self, earlier: MonotonicTime) -> Duration {
        self.since(earlier)
    }
}

/// Reads the process's monotonic clock, which starts at zero with the first call.
#[must_use]
pub fn monotonic_now() -> MonotonicTime {
    use std::sync::OnceLock;
    use std::time::Instant;
    static START: OnceLock<Instant> = OnceLock::new();
    let start = START.get_or_init(Instant::now);
    MonotonicTime::ZERO + start.elapsed()
}
