//! Admission control based on the estimated time to the first token.

use millford_core::Duration;

use crate::cost_estimates::CostEstimates;

/// Prefill work that determines when a request's first token comes from the chosen backend.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionEstimate {
    /// Uncached prompt tokens in flight on the backend for the model.
    pub queued_tokens: u64,
    /// Uncached prompt tokens of the request itself.
    pub own_tokens: u64,
}

impl AdmissionEstimate {
    /// Estimates the time to the first token of `model`.
    #[must_use]
    pub fn first_token(&self, model: &str, costs: &CostEstimates) -> Duration {
        let tokens = self.queued_tokens.saturating_add(self.own_tokens);
        let millis = costs.first_token_ms(model, tokens);
        Duration::from_secs_f64(millis.max(0.0) / 1000.0)
    }

    /// Returns whether the first token is expected within `limit`. An idle backend always admits:
    /// a later attempt there would not be any faster.
    #[must_use]
    pub fn admits(&self, model: &str, costs: &CostEstimates, limit: Duration) -> bool {
        self.queued_tokens == 0 || self.first_token(model, costs) <= limit
    }
}
