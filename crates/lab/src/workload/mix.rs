//! Steady traffic of a site: long streams, questions, requests that may not be repeated, lookups.

use std::time::Duration;

use super::callers::{Callers, RequestKind};

/// Time between two lookups: about twenty a second.
pub const LOOKUP_PERIOD: Duration = Duration::from_millis(50);
/// Lookups between two model requests.
const LOOKUPS_PER_MODEL_REQUEST: u64 = 6;
/// Model requests that are open at once, at most; a caller beyond waits.
const MOST_OPEN_CALLS: usize = 160;
/// How often a request under an idempotency key is sent, at most.
const KEYED_SENDINGS: usize = 3;

/// Steady traffic; each beat starts what is due.
#[derive(Debug, Default)]
pub struct Mix {
    beat: u64,
}

impl Mix {
    /// Starts the calls of one beat, every [`LOOKUP_PERIOD`].
    pub fn beat(&mut self, callers: &mut Callers) {
        self.beat += 1;
        callers.start_lookup();
        if !self.beat.is_multiple_of(LOOKUPS_PER_MODEL_REQUEST) {
            return;
        }
        if callers.open_calls() >= MOST_OPEN_CALLS {
            return;
        }
        match (self.beat / LOOKUPS_PER_MODEL_REQUEST) % 8 {
            0 | 2 | 4 | 6 => drop(callers.start(RequestKind::Long)),
            1 | 5 => drop(callers.start(RequestKind::Question)),
            3 => drop(callers.start(RequestKind::Once)),
            _ => drop(callers.start_keyed(KEYED_SENDINGS)),
        }
    }
}
