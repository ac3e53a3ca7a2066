//! Costs of all models, for routing, admission and placement.

use std::collections::BTreeMap;

use millford_api::internal::CostSample;

use crate::cost::model_cost::ModelCost;
use crate::load::ReplicaWork;

/// Learned costs by model name. All versions of a model share the same costs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostModel {
    models: BTreeMap<String, ModelCost>,
}

impl CostModel {
    /// Updates the costs of `model` with a completed request, on a backend with `cores` cores that
    /// served `streams` streams of the model.
    pub fn observe(&mut self, model: &str, sample: &CostSample, cores: f64, streams: u32) {
        let cost = self.models.entry(model.to_owned()).or_default();
        cost.observe(sample, cores, streams);
    }

    /// Returns the cost of a model; the prior if no request of it was observed.
    #[must_use]
    pub fn model(&self, model: &str) -> ModelCost {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// Returns the estimated time that a backend with `cores` cores needs for the work in flight,
    /// in seconds.
    #[must_use]
    pub fn outstanding_seconds(&self, model: &str, work: &ReplicaWork, cores: f64) -> f64 {
        let cost = self.model(model);
        let streams = f64::from(work.decode_streams + work.held_requests);
        let core_ms =
            cost.prefill_core_ms(work.prefill_tokens as f64) + streams * cost.stream_core_ms(cores);
        core_ms / cores.max(1.0) / 1000.0
    }

    /// Returns the estimated time to the first token of a request with `uncached_tokens` prompt
    /// tokens, in seconds. Prefill of `backlog_tokens` of the same model and of other models, which
    /// takes `other_seconds`, comes before it.
    #[must_use]
    pub fn first_token_seconds(
        &self,
        model: &str,
        uncached_tokens: u32,
        backlog_tokens: u64,
        other_seconds: f64,
        cores: f64,
    ) -> f64 {
        let cost = self.model(model);
        let tokens = f64::from(uncached_tokens) + backlog_tokens as f64;
        cost.prefill.value(tokens / cores.max(1.0)) / 1000.0 + other_seconds
    }

    /// Returns the estimated time between two tokens with `streams` streams on the replica, in
    /// milliseconds.
    #[must_use]
    pub fn inter_token_ms(&self, model: &str, streams: u32) -> f64 {
        self.model(model).decode.value(f64::from(streams.max(1)))
    }

    /// Returns the share of a backend's decode capacity that a model's streams use; above 1 when
    /// overloaded.
    #[must_use]
    pub fn decode_utilization(&self, model: &str, streams: f64) -> f64 {
        streams / self.model(model).stream_capacity()
    }
}
