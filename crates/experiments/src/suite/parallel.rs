//! Runs of an experiment on a few threads; the order of the results is that of the runs.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::fleet::{FleetMetrics, FleetOptions, simulate};

/// Threads used, fewer than a machine that others share may have.
const THREADS: usize = 4;

/// Simulates every fleet.
#[must_use]
pub fn simulate_all(fleets: &[FleetOptions]) -> Vec<FleetMetrics> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<FleetMetrics>>> = Mutex::new(vec![None; fleets.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS.min(fleets.len()) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(options) = fleets.get(index) else {
                        return;
                    };
                    let metrics = simulate(options.clone());
                    results.lock().unwrap_or_else(PoisonError::into_inner)[index] = Some(metrics);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.into_iter().flatten().collect()
}
