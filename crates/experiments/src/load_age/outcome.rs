//! What came of a simulated fleet.

/// Time within which a first token is in time, in milliseconds.
pub const TARGET_MS: f64 = 800.0;

/// First tokens, and how far choices were from the best ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadAgeOutcome {
    /// Time from arrival to first token of each request, in milliseconds, in order of their dispatch.
    pub first_token_ms: Vec<f64>,
    /// Work ahead of each request beyond that on the idlest backend, in milliseconds.
    pub regret_ms: Vec<f64>,
}

impl LoadAgeOutcome {
    /// Share of the requests whose first token was late.
    #[must_use]
    pub fn late_share(&self) -> f64 {
        let late = self.first_token_ms.iter().filter(|ms| **ms > TARGET_MS);
        late.count() as f64 / self.first_token_ms.len().max(1) as f64
    }

    /// The time to the first token that this share of the requests does not exceed.
    #[must_use]
    pub fn first_token_quantile(&self, share: f64) -> f64 {
        let mut sorted = self.first_token_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().saturating_sub(1);
        let index = (last as f64 * share).round() as usize;
        sorted.get(index).copied().unwrap_or_default()
    }

    /// Mean of the regret.
    #[must_use]
    pub fn mean_regret_ms(&self) -> f64 {
        self.regret_ms.iter().sum::<f64>() / self.regret_ms.len().max(1) as f64
    }
}
