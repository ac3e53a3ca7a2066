//! Requests to an emulated backend, and the events that it reports.

use millford_core::MonotonicTime;
use thiserror::Error;

/// A request to run one prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRequest {
    /// Number of the run, chosen by the caller; must be unique among the open runs.
    pub run: u64,
    /// Name that the model was loaded under.
    pub model: String,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Chain hashes of the prompt's full blocks, from `chain_blocks` or `text_blocks`.
    pub prompt_blocks: Vec<u64>,
    /// Number of tokens to generate; 0 counts as 1.
    pub output_tokens: u32,
}

/// Split of an accepted prompt by the prefix cache; the two counts add up to the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStarted {
    /// Prompt tokens that need no prefill.
    pub cached_tokens: u32,
    /// Prompt tokens to prefill.
    pub uncached_tokens: u32,
}

/// Reason for which a run was refused before any work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RunRefused {
    /// [`BackendOptions::max_runs`](crate::BackendOptions::max_runs) runs are open.
    #[error("the backend has reached its limit of open runs")]
    Full,
    /// The requested model is not loaded.
    #[error("the model is not loaded on this backend")]
    ModelUnknown,
    /// Another open run has the same number.
    #[error("a run with this number is already open")]
    Duplicate,
}

/// An event in the progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendEvent {
    /// Time of the event; at most the time that the backend was advanced to.
    pub at: MonotonicTime,
    /// Number of the run, from [`RunRequest::run`].
    pub run: u64,
    /// Kind of the event.
    pub kind: BackendEventKind,
}

/// Kinds of events of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendEventKind {
    /// Prefill ended and produced the first token.
    FirstToken,
    /// Total number of tokens produced so far, the first included. At most one event per run and advance.
    Tokens(u32),
    /// The last token was produced and the run is closed.
    Finished,
}
