//! What goes into and comes out of an emulated backend.

use millford_core::MonotonicTime;
use thiserror::Error;

/// A run that a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRequest {
    /// Chosen by the caller, unique among the open runs.
    pub run: u64,
    /// Name of the model.
    pub model: String,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Chain hashes of the prompt's full blocks, from `chain_blocks` or `text_blocks`.
    pub prompt_blocks: Vec<u64>,
    /// Tokens to generate, at least one.
    pub output_tokens: u32,
}

/// What the backend found in its prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStarted {
    /// Prompt tokens that need no prefill.
    pub cached_tokens: u32,
    /// Prompt tokens to prefill.
    pub uncached_tokens: u32,
}

/// Why a run was refused before any work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RunRefused {
    /// The largest number of runs is open.
    #[error("the backend runs as many requests as it may")]
    Full,
    /// The model is not loaded.
    #[error("the backend does not serve this model")]
    ModelUnknown,
    /// A run with the number is open.
    #[error("a run with this number is open")]
    Duplicate,
}

/// Something that happened to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendEvent {
    /// When it happened; never after the time that was advanced to.
    pub at: MonotonicTime,
    /// The run.
    pub run: u64,
    /// What happened.
    pub kind: BackendEventKind,
}

/// Kinds of events of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendEventKind {
    /// Prefill ended: token 0 is there.
    FirstToken,
    /// This many tokens are there by now, the first included. At most one event for each run and advance.
    Tokens(u32),
    /// The last token is there; the run is closed.
    Finished,
}
