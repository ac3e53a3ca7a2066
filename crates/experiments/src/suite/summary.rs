//! Runs of one setting over several seeds, taken together.

use crate::fleet::FleetMetrics;

/// Mean or pooled figures of several runs.
#[derive(Clone, Debug)]
pub struct Summary {
    /// All runs pooled: counts and histograms are added.
    pub pooled: FleetMetrics,
    /// Mean over the runs of the mean utilization.
    pub mean_utilization: f64,
    /// Mean over the runs of the tail utilization.
    pub tail_utilization: f64,
    /// Mean over the runs of the share of samples above 65% bandwidth demand.
    pub over_bandwidth_limit: f64,
    /// Runs taken together.
    pub runs: usize,
}

impl Summary {
    /// Takes runs together; there must be at least one.
    #[must_use]
    pub fn of(runs: &[FleetMetrics]) -> Self {
        let count = runs.len().max(1) as f64;
        let mean = |value: fn(&FleetMetrics) -> f64| runs.iter().map(value).sum::<f64>() / count;
        let mut pooled = FleetMetrics::new(runs[0].counts_from);
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
    pooled.first_sends += run.first_sends;
    pooled.second_sends += run.second_sends;
    pooled.prompt_tokens += run.prompt_tokens;
    pooled.cached_tokens += run.cached_tokens;
    pooled.moves += run.moves;
    pooled.forced_steps += run.forced_steps;
    pooled.longest_drain = pooled.longest_drain.max(run.longest_drain);
    pooled.longest_late_send = pooled.longest_late_send.max(run.longest_late_send);
    pooled.most_bandwidth = pooled.most_bandwidth.max(run.most_bandwidth);
    // Both histograms have the same bounds, so that adding cannot fail.
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
