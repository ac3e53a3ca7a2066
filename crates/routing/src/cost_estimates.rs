//! Cost of each model, learned from the traffic that this node carries.

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::linear_fit::LinearFit;
use crate::lock::lock;
use crate::running_mean::RunningMean;

/// First token of an unknown model: fixed part, in milliseconds.
const PRIOR_FIRST_TOKEN_MS: f64 = 40.0;
/// First token of an unknown model: part per uncached prompt token, in milliseconds.
const PRIOR_PREFILL_MS_PER_TOKEN: f64 = 0.1;
/// Time between tokens of an unknown model, in milliseconds.
const PRIOR_INTER_TOKEN_MS: f64 = 20.0;
/// What each further stream adds to the time between tokens, in milliseconds.
const PRIOR_INTER_TOKEN_MS_PER_STREAM: f64 = 0.5;
/// Length of a response of an unknown model, in tokens.
const PRIOR_OUTPUT_TOKENS: f64 = 64.0;
/// Most streams that are believed to fit into twice the time of an empty step: guards against a fitted
/// slope of nearly nothing.
const MAX_STREAMS_PER_BATCH: f64 = 256.0;
/// Cached share of a prompt to expect at home before any response; elsewhere it is 0.
const PRIOR_CACHED_AT_HOME: f64 = 0.5;

/// What was learned about one model.
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

/// The costs of all models that this node carried traffic of.
#[derive(Debug, Default)]
pub struct CostEstimates {
    models: Mutex<BTreeMap<String, ModelCost>>,
}

impl CostEstimates {
    /// A first token came `first_token_ms` after a request with this many uncached prompt tokens,
    /// its own and those queued before it on the backend.
    pub fn add_first_token(&self, model: &str, uncached_tokens: u64, first_token_ms: f64) {
        self.change(model, |cost| {
            cost.first_token.add(uncached_tokens as f64, first_token_ms);
        });
    }

    /// Tokens came `inter_token_ms` apart while the backend carried this many streams.
    pub fn add_inter_token(&self, model: &str, streams: u32, inter_token_ms: f64) {
        self.change(model, |cost| {
            cost.inter_token.add(f64::from(streams), inter_token_ms);
        });
    }

    /// A response had this many tokens.
    pub fn add_output_tokens(&self, model: &str, tokens: u32) {
        self.change(model, |cost| {
            cost.output_tokens.add(f64::from(tokens));
        });
    }

    /// A request sent to its home found this share of its prompt cached.
    pub fn add_cached_share(&self, model: &str, share: f64) {
        self.change(model, |cost| {
            cost.cached_share_at_home.add(share.clamp(0.0, 1.0));
        });
    }

    /// A request sent elsewhere than to its home found this share of its prompt cached.
    pub fn add_cached_share_elsewhere(&self, model: &str, share: f64) {
        self.change(model, |cost| {
            cost.cached_share_elsewhere.add(share.clamp(0.0, 1.0));
        });
    }

    /// Time to the first token with this many uncached tokens to prefill, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, model: &str, uncached_tokens: u64) -> f64 {
        self.read(model).first_token.at(uncached_tokens as f64)
    }

    /// Uncached tokens to expect of a prompt that is sent to its home.
    #[must_use]
    pub fn uncached_tokens_at_home(&self, model: &str, prompt_tokens: u64) -> u64 {
        let share = 1.0 - self.read(model).cached_share_at_home.value();
        (prompt_tokens as f64 * share).ceil() as u64
    }

    /// Uncached tokens to expect of a prompt that is sent elsewhere than to its home.
    #[must_use]
    pub fn uncached_tokens_elsewhere(&self, model: &str, prompt_tokens: u64) -> u64 {
        let share = 1.0 - self.read(model).cached_share_elsewhere.value();
        (prompt_tokens as f64 * share).ceil() as u64
    }

    /// Share of a prompt's prefill that the warm cache at home saves against any other.
    #[must_use]
    pub fn home_gain(&self, model: &str) -> f64 {
        let cost = self.read(model);
        (cost.cached_share_at_home.value() - cost.cached_share_elsewhere.value()).max(0.0)
    }

    /// Processor time that the warm cache at home saves on a prompt, in milliseconds.
    #[must_use]
    pub fn home_saving_ms(&self, model: &str, prompt_tokens: u64) -> f64 {
        let slope = self.read(model).first_token.slope();
        self.home_gain(model) * prompt_tokens as f64 * slope
    }

    /// Estimated processor time of work in flight, in milliseconds.
    ///
    /// A step serves all streams of a batch at once: a stream costs what it adds to a step, not the step.
    #[must_use]
    pub fn work_ms(&self, model: &str, prefill_tokens: u64, decode_streams: u32) -> f64 {
        let cost = self.read(model);
        let prefill = cost.first_token.slope() * prefill_tokens as f64;
        let least_step_share = cost.inter_token.base() / MAX_STREAMS_PER_BATCH;
        let step_share = cost.inter_token.slope().max(least_step_share);
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
