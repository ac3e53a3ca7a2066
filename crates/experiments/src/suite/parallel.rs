//! Parallel execution of the runs of an experiment.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::fleet::{FleetMetrics, FleetOptions, simulate};

/// Number of threads; kept small because the machine may be shared with other work.
const THREADS: usize = 4;

/// Simulates every fleet and returns the metrics in the order of the fleets.
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
