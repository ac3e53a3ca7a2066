//! Cost estimates per model, learned from this node's own traffic.
//!
//! The home of a request is a backend that rendezvous hashing assigns to its affinity key; see
//! [`crate::choice`].

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::linear_fit::LinearFit;
use crate::lock::lock;
use crate::running_mean::RunningMean;

/// Time to the first token before any sample of a model: fixed part, in milliseconds.
const PRIOR_FIRST_TOKEN_MS: f64 = 40.0;
/// Time to the first token before any sample of a model: part per uncached prompt token, in
/// milliseconds.
const PRIOR_PREFILL_MS_PER_TOKEN: f64 = 0.1;
/// Time between tokens before any sample of a model: fixed part, in milliseconds.
const PRIOR_INTER_TOKEN_MS: f64 = 20.0;
/// Time between tokens before any sample of a model: part per concurrent stream, in milliseconds.
const PRIOR_INTER_TOKEN_MS_PER_STREAM: f64 = 0.5;
/// Length of a response before any sample of a model, in tokens.
const PRIOR_OUTPUT_TOKENS: f64 = 64.0;
/// Largest number of streams that is assumed to no more than double the time of an empty decode step.
/// It bounds the fitted slope from below, because a slope near 0 would make streams free.
const MAX_STREAMS_PER_BATCH: f64 = 256.0;
/// Cached share of a prompt to expect at its home before any sample; at other backends it is 0.
const PRIOR_CACHED_AT_HOME: f64 = 0.5;

/// Estimates for one model.
#[derive(Clone, Copy, Debug)]
struct ModelCost {
    first_token: LinearFit,
    inter_token: LinearFit,
    output_tokens: RunningMean,
    cached_share_at_home: RunningMean,
    cached_share_elsewhere: RunningMean,
}

impl Default for ModelCost {
    fn default() -> Self {
        Self {
            first_token: LinearFit::with_prior(PRIOR_FIRST_TOKEN_MS, PRIOR_PREFILL_MS_PER_TOKEN),
            inter_token: LinearFit::with_prior(
                PRIOR_INTER_TOKEN_MS,
                PRIOR_INTER_TOKEN_MS_PER_STREAM,
            ),
            output_tokens: RunningMean::with_prior(PRIOR_OUTPUT_TOKENS),
            cached_share_at_home: RunningMean::with_prior(PRIOR_CACHED_AT_HOME),
            cached_share_elsewhere: RunningMean::with_prior(0.0),
        }
    }
}

/// Cost estimates of every model of which this node carried traffic.
#[derive(Debug, Default)]
pub struct CostEstimates {
    models: Mutex<BTreeMap<String, ModelCost>>,
}

impl CostEstimates {
    /// Records a time to the first token, in milliseconds. `uncached_tokens` counts the uncached prompt
    /// tokens of the request and of those queued before it on the backend.
    pub fn add_first_token(&self, model: &str, uncached_tokens: u64, first_token_ms: f64) {
        self.change(model, |cost| {
            cost.first_token.add(uncached_tokens as f64, first_token_ms);
        });
    }

    /// Records a time between two tokens, in milliseconds, while the backend served `streams` streams.
    pub fn add_inter_token(&self, model: &str, streams: u32, inter_token_ms: f64) {
        self.change(model, |cost| {
            cost.inter_token.add(f64::from(streams), inter_token_ms);
        });
    }

    /// Records the length of a complete response, in tokens.
    pub fn add_output_tokens(&self, model: &str, tokens: u32) {
        self.change(model, |cost| {
            cost.output_tokens.add(f64::from(tokens));
        });
    }

    /// Records the share of a prompt, from 0 to 1, that was cached at the home that it was sent to.
    pub fn add_cached_share(&self, model: &str, share: f64) {
        self.change(model, |cost| {
            cost.cached_share_at_home.add(share.clamp(0.0, 1.0));
        });
    }

    /// Records the share of a prompt, from 0 to 1, that was cached at a backend other than its home.
    pub fn add_cached_share_elsewhere(&self, model: &str, share: f64) {
        self.change(model, |cost| {
            cost.cached_share_elsewhere.add(share.clamp(0.0, 1.0));
        });
    }

    /// Estimates the time to the first token with this many uncached tokens to prefill, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, model: &str, uncached_tokens: u64) -> f64 {
        self.read(model).first_token.at(uncached_tokens as f64)
    }

    /// Estimates the uncached tokens of a prompt that is sent to its home.
    #[must_use]
    pub fn uncached_tokens_at_home(&self, model: &str, prompt_tokens: u64) -> u64 {
        let share = 1.0 - self.read(model).cached_share_at_home.value();
        (prompt_tokens as f64 * share).ceil() as u64
    }

    /// Estimates the uncached tokens of a prompt that is sent to a backend other than its home.
    #[must_use]
    pub fn uncached_tokens_elsewhere(&self, model: &str, prompt_tokens: u64) -> u64 {
        let share = 1.0 - self.read(model).cached_share_elsewhere.value();
        (prompt_tokens as f64 * share).ceil() as u64
    }

    /// Estimates the share of a prompt's prefill, from 0 to 1, that its home saves compared with
    /// another backend.
    #[must_use]
    pub fn home_gain(&self, model: &str) -> f64 {
        let cost = self.read(model);
        (cost.cached_share_at_home.value() - cost.cached_share_elsewhere.value()).max(0.0)
    }

    /// Estimates the processor time that the warm cache of a prompt's home saves, in milliseconds.
    #[must_use]
    pub fn home_saving_ms(&self, model: &str, prompt_tokens: u64) -> f64 {
        let slope = self.read(model).first_token.slope();
        self.home_gain(model) * prompt_tokens as f64 * slope
    }

    /// Estimates the processor time of work in flight, in milliseconds.
    ///
    /// A decode step serves all streams of a batch at once, so a stream costs only the time that it adds
    /// to each step. In-flight streams are assumed to have half of an average response left.
    #[must_use]
    pub fn work_ms(&self, model: &str, prefill_tokens: u64, decode_streams: u32) -> f64 {
        let cost = self.read(model);
        let prefill = cost.first_token.slope() * prefill_tokens as f64;
        let min_step_share = cost.inter_token.base() / MAX_STREAMS_PER_BATCH;
        let step_share = cost.inter_token.slope().max(min_step_share);
        let tokens_left = cost.output_tokens.value() / 2.0;
        prefill + step_share * tokens_left * f64::from(decode_streams)
    }

    fn change(&self, model: &str, change: impl FnOnce(&mut ModelCost)) {
        change(lock(&self.models).entry(model.to_owned()).or_default());
    }

    fn read(&self, model: &str) -> ModelCost {
        lock(&self.models).get(model).copied().unwrap_or_default()
    }
}
