//! Costs of one model.

use millford_api::internal::CostSample;

use crate::cost::line_fit::LineFit;

/// Assumed prefill time per prompt token on one core before the first sample, in milliseconds.
pub const PRIOR_PREFILL_CORE_MS_PER_TOKEN: f64 = 1.0;
/// Assumed time of a decode step without streams before the first sample, in milliseconds.
pub const PRIOR_STEP_MS: f64 = 20.0;
/// Assumed time that each stream adds to a decode step before the first sample, in milliseconds.
pub const PRIOR_STREAM_MS: f64 = 0.4;
/// Scale of the prefill fit: a typical number of prompt tokens per core.
const PREFILL_SCALE: f64 = 100.0;
/// Scale of the decode fit: a typical number of streams on a replica.
const STREAM_SCALE: f64 = 10.0;
/// Weight of a new sample in the moving means.
const MEAN_WEIGHT: f64 = 0.02;
/// Assumed mean lengths of prompts and responses before the first sample, in tokens.
const PRIOR_MEAN_TOKENS: f64 = 200.0;

/// Upper limit of the decode capacity in streams, for a fitted slope of nearly zero.
const MAX_STREAM_CAPACITY: f64 = 256.0;

/// Costs of one model, learned from completed requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelCost {
    /// Fit of the time to the first token, in milliseconds, over uncached prompt tokens per core.
    pub prefill: LineFit,
    /// Fit of the inter-token time, in milliseconds, over streams on the replica.
    pub decode: LineFit,
    mean_prompt_tokens: f64,
    mean_output_tokens: f64,
}

impl Default for ModelCost {
    fn default() -> Self {
        Self {
            prefill: LineFit::new(0.0, PRIOR_PREFILL_CORE_MS_PER_TOKEN, PREFILL_SCALE),
            decode: LineFit::new(PRIOR_STEP_MS, PRIOR_STREAM_MS, STREAM_SCALE),
            mean_prompt_tokens: PRIOR_MEAN_TOKENS,
            mean_output_tokens: PRIOR_MEAN_TOKENS,
        }
    }
}

impl ModelCost {
    /// Updates the costs with a completed request, on a backend with `cores` cores that served
    /// `streams` streams.
    pub fn observe(&mut self, sample: &CostSample, cores: f64, streams: u32) {
        let prompt_tokens = f64::from(sample.prompt_tokens);
        self.prefill.observe(
            prompt_tokens / cores.max(1.0),
            f64::from(sample.first_token_ms),
        );
        self.mean_prompt_tokens += MEAN_WEIGHT * (prompt_tokens - self.mean_prompt_tokens);
        if sample.output_tokens < 2 {
            return;
        }
        let intervals = f64::from(sample.output_tokens - 1);
        let inter_token_ms = f64::from(sample.decode_ms) / intervals;
        self.decode
            .observe(f64::from(streams.max(1)), inter_token_ms);
        let output_tokens = f64::from(sample.output_tokens);
        self.mean_output_tokens += MEAN_WEIGHT * (output_tokens - self.mean_output_tokens);
    }

    /// Returns the processor time of the prefill of `prompt_tokens`, in core milliseconds.
    #[must_use]
    pub fn prefill_core_ms(&self, prompt_tokens: f64) -> f64 {
        prompt_tokens * self.prefill.slope()
    }

    /// Returns the expected remaining processor time of a stream of unknown length, in core
    /// milliseconds.
    ///
    /// A stream observed at a random time has half of its tokens left on average. Each token costs
    /// the stream's own part of a step, during which all cores of the backend are in use.
    #[must_use]
    pub fn stream_core_ms(&self, cores: f64) -> f64 {
        let tokens_left = self.mean_output_tokens / 2.0;
        tokens_left * self.stream_step_ms() * cores
    }

    /// Returns the time that one more stream adds to a step, in milliseconds during which all cores
    /// of the backend are in use.
    #[must_use]
    pub fn stream_step_ms(&self) -> f64 {
        self.decode
            .slope()
            .max(self.decode.intercept() / MAX_STREAM_CAPACITY)
    }

    /// Returns the decode capacity: the number of streams at which a step takes twice as long as
    /// one without streams.
    #[must_use]
    pub fn stream_capacity(&self) -> f64 {
        (self.decode.intercept() / self.stream_step_ms().max(f64::MIN_POSITIVE)).max(1.0)
    }

    /// Returns the mean number of uncached tokens of a prompt, at least 1.
    #[must_use]
    pub fn mean_prompt_tokens(&self) -> f64 {
        self.mean_prompt_tokens.max(1.0)
    }

    /// Returns the mean length of responses, in tokens, at least 1.
    #[must_use]
    pub fn mean_output_tokens(&self) -> f64 {
        self.mean_output_tokens.max(1.0)
    }
}
