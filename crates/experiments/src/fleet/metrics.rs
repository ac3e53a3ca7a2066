//! Metrics of a simulated run.

use hdrhistogram::Histogram;
use millford_core::{Duration, MonotonicTime};

/// Share of the backends, the most utilized ones, that make up the tail.
pub const TAIL_SHARE: f64 = 0.05;
/// Largest time that the histograms can record, in microseconds: ten minutes.
const MAX_MICROS: u64 = 600_000_000;

/// Metrics of one run. Unless stated otherwise, they cover the requests that arrived after the warm-up.
#[derive(Clone, Debug)]
pub struct FleetMetrics {
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of requests whose last token arrived.
    pub completed: u64,
    /// Number of requests without a first token before the caller's deadline.
    pub timed_out: u64,
    /// Number of requests that failed before the first token for another reason.
    pub failed: u64,
    /// Number of streams truncated after their first token.
    pub truncated: u64,
    /// Number of first attempts.
    pub first_attempts: u64,
    /// Number of retries: attempts after the first.
    pub retries: u64,
    /// Prompt tokens of all attempts sent to backends, cached or not.
    pub prompt_tokens: u64,
    /// Prompt tokens of all attempts that were found in the backend's prefix cache.
    pub cached_tokens: u64,
    /// Time from arrival to the first token, in microseconds. Requests that timed out or failed count as the limit.
    pub first_token: Histogram<u64>,
    /// Mean time between tokens of each completed stream, in microseconds.
    pub inter_token: Histogram<u64>,
    /// Mean utilization over backends and samples, between 0 and 1.
    pub mean_utilization: f64,
    /// Mean over the samples of the utilization of the [`TAIL_SHARE`] of the backends that is highest in the sample.
    pub tail_utilization: f64,
    /// Share of the samples in which a backend's bandwidth demand exceeds 65%.
    pub over_bandwidth_limit: f64,
    /// Largest bandwidth demand in any sample, as a share of the bandwidth.
    pub max_bandwidth_utilization: f64,
    /// Number of requests with a first token in time, by second of arrival, including the warm-up.
    pub good_by_second: Vec<u32>,
    /// Number of requests by second of arrival, including the warm-up.
    pub arrived_by_second: Vec<u32>,
    /// Mean of the placement role's utilization estimates over its ticks after the warm-up.
    pub estimated_utilization: f64,
    /// Number of ticks that `estimated_utilization` is based on.
    pub estimates: u64,
    /// Number of changes made by the placement role over the whole run.
    pub placement_changes: u64,
    /// Time of the first transition step; `None` if there was none.
    pub transition_first_step: Option<MonotonicTime>,
    /// Time at which the last replica of another version than the target was removed; `None` if the transition did
    /// not end.
    pub transition_end: Option<MonotonicTime>,
    /// Longest time for which the placement listed a replica as draining.
    pub longest_drain: Duration,
    /// Longest time from the announcement of a backend's retirement to an attempt sent to it.
    pub longest_send_after_retirement: Duration,
    /// Number of forced transition steps over the whole run.
    pub forced_steps: u64,
    /// End of the warm-up; requests that arrived earlier are not counted.
    pub warm_up_end: MonotonicTime,
}

impl FleetMetrics {
    /// Creates empty metrics. Requests that arrive before `warm_up_end` will not be counted.
    #[must_use]
    pub fn new(warm_up_end: MonotonicTime) -> Self {
        Self {
            arrived: 0,
            completed: 0,
            timed_out: 0,
            failed: 0,
            truncated: 0,
            first_attempts: 0,
            retries: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            first_token: histogram(),
            inter_token: histogram(),
            mean_utilization: 0.0,
            tail_utilization: 0.0,
            over_bandwidth_limit: 0.0,
            max_bandwidth_utilization: 0.0,
            good_by_second: Vec::new(),
            arrived_by_second: Vec::new(),
            estimated_utilization: 0.0,
            estimates: 0,
            placement_changes: 0,
            transition_first_step: None,
            transition_end: None,
            longest_drain: Duration::ZERO,
            longest_send_after_retirement: Duration::ZERO,
            forced_steps: 0,
            warm_up_end,
        }
    }

    /// Returns whether requests that arrived at this time are counted.
    #[must_use]
    pub fn includes(&self, arrived: MonotonicTime) -> bool {
        arrived >= self.warm_up_end
    }

    /// Adds an estimate of the pool's utilization to the mean.
    pub fn record_estimate(&mut self, utilization: f64) {
        self.estimates += 1;
        self.estimated_utilization +=
            (utilization - self.estimated_utilization) / self.estimates as f64;
    }

    /// Counts an arriving request.
    pub fn record_arrival(&mut self, arrived: MonotonicTime) {
        count_second(&mut self.arrived_by_second, arrived);
        if self.includes(arrived) {
            self.arrived += 1;
        }
    }

    /// Counts a first token, which came `took` after the request's arrival.
    pub fn record_first_token(&mut self, arrived: MonotonicTime, took: Duration) {
        count_second(&mut self.good_by_second, arrived);
        if self.includes(arrived) {
            record(&mut self.first_token, took);
        }
    }

    /// Counts a request that the caller canceled after `limit` without a first token.
    pub fn record_timeout(&mut self, arrived: MonotonicTime, limit: Duration) {
        if self.includes(arrived) {
            self.timed_out += 1;
            record(&mut self.first_token, limit);
        }
    }

    /// Counts a request that failed before its first token; its time to the first token is recorded as `limit`.
    pub fn record_failure(&mut self, arrived: MonotonicTime, limit: Duration) {
        if self.includes(arrived) {
            self.failed += 1;
            record(&mut self.first_token, limit);
        }
    }

    /// Counts a completed stream with its mean time between tokens.
    pub fn record_finish(&mut self, arrived: MonotonicTime, inter_token: Duration) {
        if self.includes(arrived) {
            self.completed += 1;
            record(&mut self.inter_token, inter_token);
        }
    }

    /// Returns the share of requests without a first token in time, whether they timed out or failed.
    #[must_use]
    pub fn timeout_rate(&self) -> f64 {
        let bad = self.timed_out + self.failed;
        bad as f64 / self.arrived.max(1) as f64
    }

    /// Returns a quantile of the time to the first token, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns a quantile of the mean time between tokens, in milliseconds.
    #[must_use]
    pub fn inter_token_ms(&self, quantile: f64) -> f64 {
        self.inter_token.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the share of the prompt tokens that were found in a prefix cache.
    #[must_use]
    pub fn cached_share(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Returns the ratio of retries to first attempts.
    #[must_use]
    pub fn retry_share(&self) -> f64 {
        self.retries as f64 / self.first_attempts.max(1) as f64
    }

    /// Computes the utilization and bandwidth figures from the samples, given as one list of equal length per backend.
    pub fn summarize_samples(&mut self, utilizations: &[&[f64]], bandwidths: &[&[f64]]) {
        let samples = utilizations
            .iter()
            .map(|list| list.len())
            .min()
            .unwrap_or(0);
        let tail = ((utilizations.len() as f64 * TAIL_SHARE).ceil() as usize).max(1);
        let mut tail_sum = 0.0;
        let mut mean_sum = 0.0;
        for sample in 0..samples {
            let mut moment: Vec<f64> = utilizations.iter().map(|list| list[sample]).collect();
            moment.sort_by(|left, right| right.total_cmp(left));
            tail_sum += moment[..tail].iter().sum::<f64>() / tail as f64;
            mean_sum += moment.iter().sum::<f64>() / moment.len() as f64;
        }
        self.tail_utilization = tail_sum / samples.max(1) as f64;
        self.mean_utilization = mean_sum / samples.max(1) as f64;
        let all: Vec<f64> = bandwidths
            .iter()
            .flat_map(|list| list.iter().copied())
            .collect();
        let over = all.iter().filter(|demand| **demand > 0.65).count();
        self.over_bandwidth_limit = over as f64 / all.len().max(1) as f64;
        self.max_bandwidth_utilization = all.iter().copied().fold(0.0, f64::max);
    }
}

fn histogram() -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid constants");
    histogram.auto(false);
    histogram
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
    histogram.saturating_record(micros.max(1));
}

fn count_second(counts: &mut Vec<u32>, at: MonotonicTime) {
    let second = (at.as_millis() / 1000) as usize;
    if counts.len() <= second {
        counts.resize(second + 1, 0);
    }
    counts[second] += 1;
}
