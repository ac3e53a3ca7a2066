//! Limits how often a sentence is logged, since a peer decides how often its cause occurs.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

/// Shortest time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    last: Option<Instant>,
    skipped: u64,
}

/// Permits one line per second and counts those that were left out.
#[derive(Debug, Default)]
pub struct LogThrottle(Mutex<State>);

impl LogThrottle {
    /// Returns how many lines were left out since the last one, or `None` if this line is to be left out too.
    pub fn permit(&self) -> Option<u64> {
        let now = Instant::now();
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.last.is_some_and(|last| now - last < INTERVAL) {
            state.skipped += 1;
            return None;
        }
        state.last = Some(now);
        Some(std::mem::take(&mut state.skipped))
    }
}
