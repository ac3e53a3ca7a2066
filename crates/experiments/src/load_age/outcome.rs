//! Results of a simulation.

/// Largest time to the first token that is not late, in milliseconds.
pub const TARGET_MS: f64 = 800.0;

/// Times to the first token, and how much worse the chosen backends were than the least loaded ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadAgeOutcome {
    /// Time from arrival to the first token of each request, in milliseconds, in the order of dispatch.
    pub first_token_ms: Vec<f64>,
    /// Work in flight on the chosen backend minus that on the least loaded one, at the dispatch of each request, in
    /// milliseconds.
    pub regret_ms: Vec<f64>,
}

impl LoadAgeOutcome {
    /// Returns the share of the requests whose first token took longer than [`TARGET_MS`].
    #[must_use]
    pub fn late_share(&self) -> f64 {
        let late = self.first_token_ms.iter().filter(|ms| **ms > TARGET_MS);
        late.count() as f64 / self.first_token_ms.len().max(1) as f64
    }

    /// Returns a quantile of the time to the first token, in milliseconds; `share` is between 0 and 1.
    #[must_use]
    pub fn first_token_quantile(&self, share: f64) -> f64 {
        let mut sorted = self.first_token_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().saturating_sub(1);
        let index = (last as f64 * share).round() as usize;
        sorted.get(index).copied().unwrap_or_default()
    }

    /// Returns the mean regret, in milliseconds.
    #[must_use]
    pub fn mean_regret_ms(&self) -> f64 {
        self.regret_ms.iter().sum::<f64>() / self.regret_ms.len().max(1) as f64
    }
}
