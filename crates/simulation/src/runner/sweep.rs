//! Runs a scenario over many seeds in parallel.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::runner::run_report::run_scenario;
use crate::runner::summary::Summary;
use crate::scenario::Scenario;
use crate::world::RunOptions;

/// Runs `seeds` seeds from `from` on with `jobs` threads and summarizes the results. Each run uses one
/// thread; the summary does not depend on their order.
#[must_use]
pub fn sweep(scenario: &Scenario, from: u64, seeds: u64, jobs: usize) -> Summary {
    let next = AtomicU64::new(from);
    let end = from + seeds;
    let summary = Mutex::new(Summary {
        name: scenario.name.clone(),
        virtual_seconds: scenario.duration.as_secs() * seeds,
        ..Summary::default()
    });
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| run_seeds(scenario, &next, end, &summary));
        }
    });
    summary.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Runs one seed after the other, taken from the shared counter `next`, until `end` is reached.
fn run_seeds(scenario: &Scenario, next: &AtomicU64, end: u64, summary: &Mutex<Summary>) {
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return;
        }
        let options = RunOptions {
            seed,
            ..RunOptions::default()
        };
        let report = run_scenario(scenario, options);
        let mut summary = summary.lock().unwrap_or_else(PoisonError::into_inner);
        summary.add(report);
    }
}
