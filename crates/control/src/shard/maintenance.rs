//! Schedule of a shard's periodic maintenance.

use millford_core::{Duration, MonotonicTime};

use super::periodic_timer::PeriodicTimer;
use crate::timing::{CLOCK_PERIOD, PROGRESS_PERIOD};

/// Longest time between two ticks that counts towards election timeouts; the rest of a longer gap
/// is stalled time.
const MAX_TICK_GAP: Duration = Duration::from_millis(100);

/// Timers of the periodic maintenance.
#[derive(Debug)]
pub struct MaintenanceSchedule {
    last_tick: MonotonicTime,
    progress: PeriodicTimer,
    clock: PeriodicTimer,
}

impl MaintenanceSchedule {
    /// Creates the schedule of a core that starts now.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            last_tick: now,
            progress: PeriodicTimer::starting_at(now + PROGRESS_PERIOD, PROGRESS_PERIOD),
            clock: PeriodicTimer::starting_at(now + CLOCK_PERIOD, CLOCK_PERIOD),
        }
    }

    /// Restarts the clock's period when this replica becomes the leader.
    pub fn lead(&mut self, now: MonotonicTime) {
        self.clock.restart(now);
    }

    /// The time since the last tick during which the core did not run because its thread waited for
    /// a processor or the disk; none if it was not stalled. The first `MAX_TICK_GAP` (100 ms) of a
    /// gap doesn't count, so that a core whose ticks are always a little late still campaigns.
    pub fn stalled_time(&mut self, now: MonotonicTime) -> Option<Duration> {
        let previous = std::mem::replace(&mut self.last_tick, now);
        let gap = now.since(previous);
        let stalled = gap.checked_sub(MAX_TICK_GAP)?;
        (!stalled.is_zero()).then_some(stalled)
    }

    /// Whether the feed's position is to be sent to the agents now.
    pub fn progress_due(&mut self, now: MonotonicTime) -> bool {
        self.progress.take_due(now)
    }

    /// Whether the shard's clock is to advance by [`CLOCK_PERIOD`] now.
    pub fn clock_due(&mut self, now: MonotonicTime) -> bool {
        self.clock.take_due(now)
    }
}
