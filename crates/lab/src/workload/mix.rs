//! Steady mix of long streams, questions, requests that may not be repeated, and lookups.

use std::time::Duration;

use super::callers::{Callers, RequestKind};

/// Interval of lookups: twenty per second.
pub const LOOKUP_PERIOD: Duration = Duration::from_millis(50);
/// Number of lookups per model request.
const LOOKUPS_PER_MODEL_REQUEST: u64 = 6;
/// Number of open requests, lookups included, from which model requests are skipped instead of started.
const MAX_OPEN_REQUESTS: usize = 160;
/// Largest number of sends of a request with an idempotency key.
const MAX_KEYED_SENDS: usize = 3;

/// Steady traffic; each tick starts the requests that are due.
#[derive(Debug, Default)]
pub struct Mix {
    tick: u64,
}

impl Mix {
    /// Starts the requests of one tick. The caller calls it every [`LOOKUP_PERIOD`].
    pub fn tick(&mut self, callers: &mut Callers) {
        self.tick += 1;
        callers.start_lookup();
        if !self.tick.is_multiple_of(LOOKUPS_PER_MODEL_REQUEST) {
            return;
        }
        if callers.open_requests() >= MAX_OPEN_REQUESTS {
            return;
        }
        match (self.tick / LOOKUPS_PER_MODEL_REQUEST) % 8 {
            0 | 2 | 4 | 6 => drop(callers.start(RequestKind::Long)),
            1 | 5 => drop(callers.start(RequestKind::Question)),
            3 => drop(callers.start(RequestKind::Once)),
            _ => drop(callers.start_keyed(MAX_KEYED_SENDS)),
        }
    }
}
