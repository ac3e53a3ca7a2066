//! State that every simulated process has.

use std::collections::VecDeque;

use millford_core::MonotonicTime;

use crate::kernel::ProcessClock;
use crate::world::process_input::ProcessInput;

/// Way in which a process ends abruptly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessLoss {
    /// The process crashes, and its machine closes the connections.
    Crash,
    /// The machine is lost: peers get neither packets nor the end of the connections.
    MachineLost,
}

/// Incarnation, clock and queued inputs of a process.
pub struct ProcessState {
    /// Number of the present or last incarnation, unique in a run; 0 before the first start.
    pub incarnation: u64,
    /// Whether the process runs, frozen or not.
    pub running: bool,
    /// Number of active freezes; the process handles inputs only while it is 0.
    pub frozen: u32,
    /// Simulated time until which the process waits for its disk.
    pub busy_until: MonotonicTime,
    /// Inputs queued while the process is frozen or busy.
    pub inbox: VecDeque<ProcessInput>,
    /// Monotonic clock of the process.
    pub clock: ProcessClock,
}

impl ProcessState {
    /// Creates a process that has not started.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self {
            incarnation: 0,
            running: false,
            frozen: 0,
            busy_until: MonotonicTime::ZERO,
            inbox: VecDeque::new(),
            clock,
        }
    }

    /// Returns whether the process can handle an input at simulated time `now`.
    #[must_use]
    pub fn is_free(&self, now: MonotonicTime) -> bool {
        self.running && self.frozen == 0 && self.busy_until <= now
    }

    /// Starts a new incarnation with this number.
    pub fn start(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.running = true;
        self.busy_until = MonotonicTime::ZERO;
        self.inbox.clear();
    }

    /// Ends the incarnation and drops its queued inputs.
    pub fn stop(&mut self) {
        self.running = false;
        self.inbox.clear();
    }
}
