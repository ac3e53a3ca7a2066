//! One open run of an emulated backend.

use crate::event::RunRequest;

/// Progress of one run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) model: String,
    pub(crate) blocks: Vec<u64>,
    pub(crate) output_tokens: u32,
    pub(crate) phase: Phase,
    /// Tokens reported to the caller so far.
    pub(crate) reported_tokens: u32,
}

/// Phase of a run and its progress.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// Core microseconds of prefill left.
    Prefill { core_micros_left: f64 },
    /// Tokens generated so far, with the part of the next one.
    Decode { tokens: f64 },
}

impl Run {
    /// A run that starts its prefill.
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

    /// Whether the run is past its first token.
    pub(crate) fn decodes(&self) -> bool {
        matches!(self.phase, Phase::Decode { .. })
    }
}
