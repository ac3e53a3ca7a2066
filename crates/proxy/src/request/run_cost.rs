//! Measures one run for the estimates of its model's cost.

use millford_api::internal::CostSample;
use millford_core::Duration;
use millford_data_plane::proxy_metrics::ProxyMetrics;
use millford_data_plane::proxy_state::ProxyState;
use millford_routing::ReplicaKey;

use crate::request::attempt::Attempt;
use crate::request::caller::CallerRequest;
use crate::request::chunk::Usage;
use crate::request::environment::RequestEnvironment;
use crate::request::plan::RequestPlan;
use crate::request::relay::StreamTotals;

/// Times and token counts of one run, added to the estimates once its answer is complete.
pub(super) struct RunCost {
    replica: ReplicaKey,
    by_affinity: bool,
    sample: CostSample,
    usage: Option<Usage>,
}

impl RunCost {
    /// Starts the measurement when the first part of the answer has arrived. For a stream, records
    /// the time to the first token at once.
    pub(super) fn at_first_token<E: RequestEnvironment>(
        environment: &E,
        plan: &RequestPlan,
        request: &CallerRequest,
        attempt: &Attempt<'_, E>,
    ) -> Self {
        let first_token = environment.now().since(attempt.started);
        if plan.stream {
            let state = environment.state();
            let model = &plan.requirement.model;
            let first_token_ms = first_token.as_secs_f64() * 1000.0;
            state
                .costs
                .add_first_token(model, attempt.queued_tokens, first_token_ms);
            let since_arrival = environment.now().since(request.arrived);
            ProxyMetrics::observe(&state.metrics.first_token_seconds, since_arrival);
        }
        Self {
            replica: attempt.replica.key.clone(),
            by_affinity: attempt.replica.by_affinity,
            sample: CostSample {
                prompt_tokens: clamp_to_u32(attempt.replica.uncached_tokens),
                first_token_ms: millis(first_token),
                streams_at_start: attempt.streams_at_start,
                ..CostSample::default()
            },
            usage: None,
        }
    }

    /// Adds the token counts from the body of a plain answer.
    pub(super) fn add_plain(&mut self, body: &[u8]) {
        self.usage = plain_usage(body);
    }

    /// Adds the totals of a complete stream.
    pub(super) fn add_stream(&mut self, totals: &StreamTotals) {
        self.sample.output_tokens = clamp_to_u32(totals.chunks);
        self.sample.decode_ms = millis(totals.decode);
        self.usage = totals.usage;
    }

    /// Adds the run to this proxy's cost estimates, and to the samples of its next load report,
    /// from which the placement role estimates costs.
    pub(super) fn record(self, state: &ProxyState, plan: &RequestPlan) {
        let model = &plan.requirement.model;
        if let Some(usage) = self.usage.filter(|usage| usage.prompt_tokens > 0) {
            let share = usage.cached_tokens as f64 / usage.prompt_tokens as f64;
            if self.by_affinity {
                state.costs.add_cached_share(model, share);
            } else {
                state.costs.add_cached_share_elsewhere(model, share);
            }
        }
        let sample = self.sample;
        if sample.output_tokens > 1 {
            state.costs.add_output_tokens(model, sample.output_tokens);
            let inter_token = f64::from(sample.decode_ms) / f64::from(sample.output_tokens - 1);
            let streams = sample.streams_at_start + 1;
            state.costs.add_inter_token(model, streams, inter_token);
        }
        state.load_table.add_sample(&self.replica, sample);
    }
}

fn plain_usage(body: &[u8]) -> Option<Usage> {
    let fields: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body).ok()?;
    Usage::read(&fields)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn clamp_to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
