//! Cost of one model.

use millford_api::internal::CostSample;

use crate::cost::line_fit::LineFit;

/// Prior of prefill: milliseconds per prompt token on one core.
pub const PRIOR_PREFILL_CORE_MS_PER_TOKEN: f64 = 1.0;
/// Prior of decode: milliseconds of a step without streams.
pub const PRIOR_STEP_MS: f64 = 20.0;
/// Prior of decode: milliseconds that each stream adds to a step.
pub const PRIOR_STREAM_MS: f64 = 0.4;
/// Typical prompt tokens per core, the scale of the prefill fit.
const PREFILL_SCALE: f64 = 100.0;
/// Typical streams of a replica, the scale of the decode fit.
const STREAM_SCALE: f64 = 10.0;
/// Share of a new sample in the moving means.
const MEAN_SHARE: f64 = 0.02;
/// Prior of the mean prompt and answer lengths, in tokens.
const PRIOR_MEAN_TOKENS: f64 = 200.0;

/// Largest decode capacity that is accepted: guards against a fitted slope of nearly zero.
const MAX_STREAM_CAPACITY: f64 = 256.0;

/// Costs of one model, learned from answered requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelCost {
    /// First-token time in milliseconds against uncached prompt tokens per core.
    pub prefill: LineFit,
    /// Inter-token time in milliseconds against streams on the replica.
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
    /// Takes an answered request on a backend of `cores` cores that carried `streams` streams.
    pub fn observe(&mut self, sample: &CostSample, cores: f64, streams: u32) {
        let prompt_tokens = f64::from(sample.prompt_tokens);
        self.prefill.observe(
            prompt_tokens / cores.max(1.0),
            f64::from(sample.first_token_ms),
        );
        self.mean_prompt_tokens += MEAN_SHARE * (prompt_tokens - self.mean_prompt_tokens);
        if sample.output_tokens < 2 {
            return;
        }
        let intervals = f64::from(sample.output_tokens - 1);
        let inter_token_ms = f64::from(sample.decode_ms) / intervals;
        self.decode
            .observe(f64::from(streams.max(1)), inter_token_ms);
        let output_tokens = f64::from(sample.output_tokens);
        self.mean_output_tokens += MEAN_SHARE * (output_tokens - self.mean_output_tokens);
    }

    /// Processor time of prompt tokens, in core milliseconds.
    #[must_use]
    pub fn prefill_core_ms(&self, prompt_tokens: f64) -> f64 {
        prompt_tokens * self.prefill.slope()
    }

    /// Processor time left in a stream of unknown length, in core milliseconds.
    ///
    /// A stream observed at a random moment has half of its tokens left. Each costs a stream's own part
    /// of a step, during which all of the backend's cores are in use.
    #[must_use]
    pub fn stream_core_ms(&self, cores: f64) -> f64 {
        let tokens_left = self.mean_output_tokens / 2.0;
        tokens_left * self.stream_step_ms() * cores
    }

    /// Time that one more stream adds to a step, in milliseconds of all the backend's cores.
    #[must_use]
    pub fn stream_step_ms(&self) -> f64 {
        self.decode
            .slope()
            .max(self.decode.intercept() / MAX_STREAM_CAPACITY)
    }

    /// Streams at which a step takes twice as long as an empty one: the decode capacity.
    #[must_use]
    pub fn stream_capacity(&self) -> f64 {
        (self.decode.intercept() / self.stream_step_ms().max(f64::MIN_POSITIVE)).max(1.0)
    }

    /// Mean uncached prompt length, in tokens.
    #[must_use]
    pub fn mean_prompt_tokens(&self) -> f64 {
        self.mean_prompt_tokens.max(1.0)
    }

    /// Mean answer length, in tokens.
    #[must_use]
    pub fn mean_output_tokens(&self) -> f64 {
        self.mean_output_tokens.max(1.0)
    }
}
