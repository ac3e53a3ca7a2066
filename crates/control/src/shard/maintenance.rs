//! When the periodic maintenance of a shard is due.

use millford_core::{Duration, MonotonicTime};

use super::periodic_timer::PeriodicTimer;
use crate::timing::{CLOCK_PERIOD, PROGRESS_PERIOD};

/// A longer time between two ticks counts as this long for elections.
const MAX_TICK_GAP: Duration = Duration::from_millis(100);

/// When the periodic maintenance is due.
#[derive(Debug)]
pub struct MaintenanceSchedule {
    last_tick: MonotonicTime,
    progress: PeriodicTimer,
    clock: PeriodicTimer,
}

impl MaintenanceSchedule {
    /// The schedule of a core that starts now.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            last_tick: now,
            progress: PeriodicTimer::starting_at(now + PROGRESS_PERIOD, PROGRESS_PERIOD),
            clock: PeriodicTimer::starting_at(now + CLOCK_PERIOD, CLOCK_PERIOD),
        }
    }

    /// The replica leads from now on: the shard's clock counts from here.
    pub fn lead(&mut self, now: MonotonicTime) {
        self.clock.restart(now);
    }

    /// The time since the last tick in which the core did not run: its thread waited for a processor
    /// or the disk. Short gaps are none, so that a core that is always late still campaigns.
    pub fn stalled_time(&mut self, now: MonotonicTime) -> Option<Duration> {
        let previous = std::mem::replace(&mut self.last_tick, now);
        let gap = now.since(previous);
        let stalled = gap.checked_sub(MAX_TICK_GAP)?;
        (!stalled.is_zero()).then_some(stalled)
    }

    /// Whether the agents are to get a confirmation of the feed's position.
    pub fn progress_due(&mut self, now: MonotonicTime) -> bool {
        self.progress.take_due(now)
    }

    /// Whether the shard's clock is to advance by [`CLOCK_PERIOD`].
    pub fn clock_due(&mut self, now: MonotonicTime) -> bool {
        self.clock.take_due(now)
    }
}
