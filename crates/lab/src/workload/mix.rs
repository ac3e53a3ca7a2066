//! Steady traffic of a site: long streams, questions, requests that may not be repeated, lookups.

use std::time::Duration;

use super::callers::{Callers, RequestKind};

/// Time between two lookups: about twenty a second.
pub const LOOKUP_PERIOD: Duration = Duration::from_millis(50);
/// Lookups between two model requests.
const LOOKUPS_PER_MODEL_REQUEST: u64 = 6;
/// Model requests that are open at once, at most; a caller beyond waits.
const MAX_OPEN_REQUESTS: usize = 160;
/// How often a request under an idempotency key is sent, at most.
const MAX_KEYED_SENDS: usize = 3;

/// Steady traffic; each tick starts what is due.
#[derive(Debug, Default)]
pub struct Mix {
    tick: u64,
}

impl Mix {
    /// Starts the requests of one tick, every [`LOOKUP_PERIOD`].
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
