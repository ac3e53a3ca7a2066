//! What a simulated run is judged by.

use hdrhistogram::Histogram;
use millford_core::{Duration, MonotonicTime};

/// Share of the backends that make up the tail.
pub const TAIL_SHARE: f64 = 0.05;
/// Largest recorded time, in microseconds: ten minutes.
const LONGEST_MICROS: u64 = 600_000_000;

/// Figures of one run, from the end of the warm-up on.
#[derive(Clone, Debug)]
pub struct FleetMetrics {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests whose last token came.
    pub completed: u64,
    /// Requests given up by their caller before the first token.
    pub timed_out: u64,
    /// Requests that failed otherwise before the first token.
    pub failed: u64,
    /// Streams truncated after their first token.
    pub truncated: u64,
    /// First sends and sends to a further backend.
    pub first_sends: u64,
    /// Sends to a further backend.
    pub second_sends: u64,
    /// Prompt tokens sent to backends, and those found cached.
    pub prompt_tokens: u64,
    /// Prompt tokens found in a prefix cache.
    pub cached_tokens: u64,
    /// Time from arrival to the first token, in microseconds; given-up requests count as their limit.
    pub first_token: Histogram<u64>,
    /// Mean time between the tokens of a stream, in microseconds.
    pub inter_token: Histogram<u64>,
    /// Mean utilization of the backends.
    pub mean_utilization: f64,
    /// Mean utilization of the most used twentieth of the backends, over the samples.
    pub tail_utilization: f64,
    /// Share of samples of backends above 65% bandwidth demand.
    pub over_bandwidth_limit: f64,
    /// Largest bandwidth demand of a sample over the bandwidth.
    pub most_bandwidth: f64,
    /// Answered in time, by second of arrival.
    pub good_by_second: Vec<u32>,
    /// Arrived, by second.
    pub arrived_by_second: Vec<u32>,
    /// Utilization as the placement role estimated it, mean over its ticks after the warm-up.
    pub estimated_utilization: f64,
    /// Ticks that the mean is of.
    pub estimates: u64,
    /// Changes that the placement role made.
    pub moves: u64,
    /// When the transition began, if one did: first step after the order.
    pub transition_first_step: Option<MonotonicTime>,
    /// When the last old replica was removed.
    pub transition_end: Option<MonotonicTime>,
    /// Longest time that a draining replica or retired backend still had work.
    pub longest_drain: Duration,
    /// Longest time from a backend's retirement to the last request sent to it.
    pub longest_late_send: Duration,
    /// Forced transition steps.
    pub forced_steps: u64,
    /// Figures count from here.
    pub counts_from: MonotonicTime,
}

impl FleetMetrics {
    /// No figures yet.
    #[must_use]
    pub fn new(counts_from: MonotonicTime) -> Self {
        Self {
            arrived: 0,
            completed: 0,
            timed_out: 0,
            failed: 0,
            truncated: 0,
            first_sends: 0,
            second_sends: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            first_token: histogram(),
            inter_token: histogram(),
            mean_utilization: 0.0,
            tail_utilization: 0.0,
            over_bandwidth_limit: 0.0,
            most_bandwidth: 0.0,
            good_by_second: Vec::new(),
            arrived_by_second: Vec::new(),
            estimated_utilization: 0.0,
            estimates: 0,
            moves: 0,
            transition_first_step: None,
            transition_end: None,
            longest_drain: Duration::ZERO,
            longest_late_send: Duration::ZERO,
            forced_steps: 0,
            counts_from,
        }
    }

    /// Whether a request that arrived then counts.
    #[must_use]
    pub fn counts(&self, arrived: MonotonicTime) -> bool {
        arrived >= self.counts_from
    }

    /// Takes in an estimate of the pool's utilization.
    pub fn record_estimate(&mut self, utilization: f64) {
        self.estimates += 1;
        self.estimated_utilization +=
            (utilization - self.estimated_utilization) / self.estimates as f64;
    }

    /// Counts an arrival.
    pub fn record_arrival(&mut self, arrived: MonotonicTime) {
        count_second(&mut self.arrived_by_second, arrived);
        if self.counts(arrived) {
            self.arrived += 1;
        }
    }

    /// Counts a first token.
    pub fn record_first_token(&mut self, arrived: MonotonicTime, took: Duration) {
        count_second(&mut self.good_by_second, arrived);
        if self.counts(arrived) {
            record(&mut self.first_token, took);
        }
    }

    /// Counts a request that was given up before its first token.
    pub fn record_timeout(&mut self, arrived: MonotonicTime, limit: Duration) {
        if self.counts(arrived) {
            self.timed_out += 1;
            record(&mut self.first_token, limit);
        }
    }

    /// Counts a request that failed before its first token.
    pub fn record_failure(&mut self, arrived: MonotonicTime, limit: Duration) {
        if self.counts(arrived) {
            self.failed += 1;
            record(&mut self.first_token, limit);
        }
    }

    /// Counts a finished stream.
    pub fn record_finish(&mut self, arrived: MonotonicTime, inter_token: Duration) {
        if self.counts(arrived) {
            self.completed += 1;
            record(&mut self.inter_token, inter_token);
        }
    }

    /// Share of requests that got no first token in time.
    #[must_use]
    pub fn timeout_rate(&self) -> f64 {
        let bad = self.timed_out + self.failed;
        bad as f64 / self.arrived.max(1) as f64
    }

    /// A quantile of the time to the first token, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// A quantile of the time between tokens, in milliseconds.
    #[must_use]
    pub fn inter_token_ms(&self, quantile: f64) -> f64 {
        self.inter_token.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Share of prompt tokens found cached.
    #[must_use]
    pub fn cached_share(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Second sends over first sends.
    #[must_use]
    pub fn second_send_share(&self) -> f64 {
        self.second_sends as f64 / self.first_sends.max(1) as f64
    }

    /// Sums up utilization samples: one list of equal length per backend.
    pub fn sum_up(&mut self, utilizations: &[&[f64]], bandwidths: &[&[f64]]) {
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
        self.most_bandwidth = all.iter().copied().fold(0.0, f64::max);
    }
}

fn histogram() -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, LONGEST_MICROS, 3).expect("the bounds are valid constants");
    histogram.auto(false);
    histogram
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST_MICROS);
    histogram.saturating_record(micros.max(1));
}

fn count_second(counts: &mut Vec<u32>, at: MonotonicTime) {
    let second = (at.as_millis() / 1000) as usize;
    if counts.len() <= second {
        counts.resize(second + 1, 0);
    }
    counts[second] += 1;
}
