//! One open run of an emulated backend.

use crate::event::RunRequest;

/// An open run and its progress.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) model: String,
    pub(crate) blocks: Vec<u64>,
    pub(crate) output_tokens: u32,
    pub(crate) phase: Phase,
    /// Number of tokens that events have reported so far.
    pub(crate) reported_tokens: u32,
}

/// Phase of a run, and the progress within it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// Prefill: processor time left, in core microseconds.
    Prefill { core_micros_left: f64 },
    /// Decode: tokens generated so far, with the fraction of the next one.
    Decode { tokens: f64 },
}

impl Run {
    /// Creates a run at the start of its prefill, which takes `core_micros` core microseconds.
    pub(crate) fn new(request: &RunRequest, core_micros: f64) -> Self {
        Self {
            model: request.model.clone(),
            blocks: request.prompt_blocks.clone(),
            output_tokens: request.output_tokens.max(1),
            phase: Phase::Prefill {
                core_micros_left: core_micros,
            },
            reported_tokens: 0,
        }
    }

    /// Returns whether the run is past its first token.
    pub(crate) fn decodes(&self) -> bool {
        matches!(self.phase, Phase::Decode { .. })
    }
}
