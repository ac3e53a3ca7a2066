//! Quantiles of a small set of measurements.

use serde::Serialize;

/// Count, median, 99th percentile and maximum; all 0 for an empty set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl Quantiles {
    /// Computes the quantiles of these values by nearest rank.
    #[must_use]
    pub fn of(values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        Self {
            count: sorted.len(),
            p50: nearest_rank(&sorted, 50),
            p99: nearest_rank(&sorted, 99),
            max: sorted.last().copied().unwrap_or(0.0),
        }
    }
}

fn nearest_rank(sorted: &[f64], percent: usize) -> f64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
