//! Times at which the simulated proxies applied each configuration revision.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Times at which proxies applied a configuration revision, by revision.
#[derive(Debug, Default)]
pub struct RevisionArrivals {
    arrivals: Mutex<BTreeMap<u64, Vec<Instant>>>,
}

impl RevisionArrivals {
    /// Records that a proxy applied this revision at the current time.
    pub fn record_arrival(&self, revision: u64) {
        let now = Instant::now();
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.entry(revision).or_default().push(now);
    }

    /// Returns the number of proxies that applied this revision.
    #[must_use]
    pub fn count(&self, revision: u64) -> usize {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.get(&revision).map_or(0, Vec::len)
    }

    /// Returns the time from `start` until each proxy applied this revision, in milliseconds. Arrivals before
    /// `start` count as 0.
    #[must_use]
    pub fn delays_ms(&self, revision: u64, start: Instant) -> Vec<f64> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let times = arrivals.get(&revision).map(Vec::as_slice);
        let times = times.unwrap_or_default().iter();
        times
            .map(|at| at.saturating_duration_since(start).as_secs_f64() * 1e3)
            .collect()
    }
}
