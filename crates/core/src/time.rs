//! Monotonic time, real or simulated.
//!
//! Nothing that millford decides rests on a wall clock: wall clocks jump.

use std::ops::{Add, Sub};

pub use std::time::Duration;

/// Microseconds since an arbitrary start of this process (or of the simulation).
///
/// Values of different processes must never be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The start of the clock.
    pub const ZERO: MonotonicTime = MonotonicTime(0);

    /// Time at `micros` microseconds from the start of the clock.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Time at `millis` milliseconds from the start of the clock.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Microseconds since the start of the clock.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the start of the clock.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Time passed since `earlier`; zero if `earlier` is later.
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

/// The process's monotonic clock, counted from the first call.
#[must_use]
pub fn monotonic_now() -> MonotonicTime {
    use std::sync::OnceLock;
    use std::time::Instant;
    static START: OnceLock<Instant> = OnceLock::new();
    let start = START.get_or_init(Instant::now);
    MonotonicTime::ZERO + start.elapsed()
}
