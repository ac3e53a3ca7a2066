//! Summary of the runs of one setting with several seeds.

use crate::fleet::FleetMetrics;

/// Pooled and mean figures of several runs.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Counts and histograms added up over all runs, and maxima over all runs. Other fields keep the value of a new
    /// [`FleetMetrics`].
    pub pooled: FleetMetrics,
    /// Mean over the runs of the mean utilization.
    pub mean_utilization: f64,
    /// Mean over the runs of the tail utilization.
    pub tail_utilization: f64,
    /// Mean over the runs of the share of samples in which a backend's bandwidth demand exceeds 65%.
    pub over_bandwidth_limit: f64,
    /// Number of runs.
    pub runs: usize,
}

impl Summary {
    /// Summarizes runs.
    ///
    /// # Panics
    /// Panics when there are no runs.
    #[must_use]
    pub fn of(runs: &[FleetMetrics]) -> Self {
        let count = runs.len().max(1) as f64;
        let mean = |value: fn(&FleetMetrics) -> f64| runs.iter().map(value).sum::<f64>() / count;
        let mut pooled = FleetMetrics::new(runs[0].warm_up_end);
        for run in runs {
            pool(&mut pooled, run);
        }
        Self {
            pooled,
            mean_utilization: mean(|run| run.mean_utilization),
            tail_utilization: mean(|run| run.tail_utilization),
            over_bandwidth_limit: mean(|run| run.over_bandwidth_limit),
            runs: runs.len(),
        }
    }
}

fn pool(pooled: &mut FleetMetrics, run: &FleetMetrics) {
    pooled.arrived += run.arrived;
    pooled.completed += run.completed;
    pooled.timed_out += run.timed_out;
    pooled.failed += run.failed;
    pooled.truncated += run.truncated;
    pooled.first_attempts += run.first_attempts;
    pooled.retries += run.retries;
    pooled.prompt_tokens += run.prompt_tokens;
    pooled.cached_tokens += run.cached_tokens;
    pooled.placement_changes += run.placement_changes;
    pooled.forced_steps += run.forced_steps;
    pooled.longest_drain = pooled.longest_drain.max(run.longest_drain);
    pooled.longest_send_after_retirement = pooled
        .longest_send_after_retirement
        .max(run.longest_send_after_retirement);
    pooled.max_bandwidth_utilization = pooled
        .max_bandwidth_utilization
        .max(run.max_bandwidth_utilization);
    // All histograms have the same bounds, so adding cannot fail.
    let _ = pooled.first_token.add(&run.first_token);
    let _ = pooled.inter_token.add(&run.inter_token);
    add_seconds(&mut pooled.good_by_second, &run.good_by_second);
    add_seconds(&mut pooled.arrived_by_second, &run.arrived_by_second);
}

fn add_seconds(total: &mut Vec<u32>, run: &[u32]) {
    if total.len() < run.len() {
        total.resize(run.len(), 0);
    }
    for (sum, count) in total.iter_mut().zip(run) {
        *sum += count;
    }
}
