//! What every simulated process has.

use std::collections::VecDeque;

use millford_core::MonotonicTime;

use crate::kernel::ProcessClock;
use crate::world::process_input::ProcessInput;

/// How a process ends without warning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessLoss {
    /// It crashes: its machine closes its connections.
    Crash,
    /// Its machine is lost: its peers get no more packets and no end.
    MachineLost,
}

/// Incarnation, clock and inbox of a process.
pub struct ProcessState {
    /// Number of the incarnation; 0 before the first start.
    pub incarnation: u64,
    /// Whether it runs, frozen or not.
    pub alive: bool,
    /// Number of active freezes.
    pub frozen: u32,
    /// Its thread waits for the disk until then.
    pub busy_until: MonotonicTime,
    /// Inputs that wait while it is frozen or busy.
    pub inbox: VecDeque<ProcessInput>,
    /// Its monotonic clock.
    pub clock: ProcessClock,
}

impl ProcessState {
    /// A process that was not started yet.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self {
            incarnation: 0,
            alive: false,
            frozen: 0,
            busy_until: MonotonicTime::ZERO,
            inbox: VecDeque::new(),
            clock,
        }
    }

    /// Whether it can handle an input now.
    #[must_use]
    pub fn is_free(&self, now: MonotonicTime) -> bool {
        self.alive && self.frozen == 0 && self.busy_until <= now
    }

    /// Starts a new incarnation.
    pub fn start(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.alive = true;
        self.busy_until = MonotonicTime::ZERO;
        self.inbox.clear();
    }

    /// Ends the incarnation; the inbox is lost.
    pub fn stop(&mut self) {
        self.alive = false;
        self.inbox.clear();
    }
}
